package io.knapweedferry.policy.admission

import java.util.concurrent.atomic.AtomicBoolean

/** Permit for one request in flight. Closing it more than once releases it only once. */
public class InFlightPermit internal constructor(
    private val onClose: () -> Unit,
) : AutoCloseable {
    private val closed = AtomicBoolean()

    override fun close() {
        if (closed.compareAndSet(false, true)) onClose()
    }
}
