package io.knapweedferry.routing.http

import java.util.concurrent.atomic.AtomicLong

/** Limits the total memory of the request bodies in this process. */
internal class BodyMemoryLimit(
    private val maxBytes: Long,
) {
    private val usedBytes = AtomicLong()

    /** Reserves [bytes]; false if that would exceed the limit. */
    fun reserve(bytes: Int): Boolean {
        val total = usedBytes.addAndGet(bytes.toLong())
        if (total <= maxBytes) return true
        usedBytes.addAndGet(-bytes.toLong())
        return false
    }

    fun release(bytes: Int) {
        usedBytes.addAndGet(-bytes.toLong())
    }
}
