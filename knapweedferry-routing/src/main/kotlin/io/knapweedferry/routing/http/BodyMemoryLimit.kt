package io.knapweedferry.routing.http

import java.util.concurrent.atomic.AtomicLong

/** Limits the total memory of the request bodies in this process. */
internal class BodyMemoryLimit(
    private val maxBytes: Long,
) {
    private val used = AtomicLong()

    /** Reserves [bytes]; false if that would exceed the limit. */
    fun reserve(bytes: Int): Boolean {
        val now = used.addAndGet(bytes.toLong())
        if (now <= maxBytes) return true
        used.addAndGet(-bytes.toLong())
        return false
    }

    fun release(bytes: Int) {
        used.addAndGet(-bytes.toLong())
    }
}
