package io.knapweedferry.routing.upstream

import io.netty.handler.codec.http.HttpHeaders

/** Reads the idle timeout that an endpoint announces for a connection. */
internal object KeepAliveHeader {
    private const val NAME = "Keep-Alive"
    private const val MS_PER_SECOND = 1_000L
    private val TIMEOUT = Regex("timeout=(\\d+)")

    /** Null if [headers] announce no timeout. */
    fun timeoutMs(headers: HttpHeaders): Long? {
        val match = TIMEOUT.find(headers.get(NAME).orEmpty())
        return match?.run { groupValues[1].toLongOrNull() }?.let { it * MS_PER_SECOND }
    }
}
