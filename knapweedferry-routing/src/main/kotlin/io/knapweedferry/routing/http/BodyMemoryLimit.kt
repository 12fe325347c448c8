package io.knapweedferry.routing.http

import java.util.concurrent.atomic.AtomicLong

/** Bounds the memory that bodies of requests take in this process. */
internal class BodyMemoryLimit(
    private val maxBytes: Long,
) {
    private val used = AtomicLong()

    /** False if [bytes] more would exceed the bound. */
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
