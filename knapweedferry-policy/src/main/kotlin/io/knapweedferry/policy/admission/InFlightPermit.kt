package io.knapweedferry.policy.admission

import java.util.concurrent.atomic.AtomicBoolean

/** Place of one request in flight. Closing it twice gives the place back once. */
public class InFlightPermit internal constructor(
    private val giveBack: () -> Unit,
) : AutoCloseable {
    private val closed = AtomicBoolean()

    override fun close() {
        if (closed.compareAndSet(false, true)) giveBack()
    }
}
