package io.knapweedferry.routing.pipeline

import io.netty.handler.codec.http.HttpHeaders

/** Writes the response to the caller of one request. */
internal interface CallerReply {
    /** True once the response head was written; the status can no longer change then. */
    val hasStarted: Boolean

    /** True once the complete response was written. */
    val isFinished: Boolean

    /** Writes a complete response of an endpoint. */
    fun deliver(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Writes an error response that the entry generates itself. */
    fun refuse(
        response: LocalResponse,
        retryAfterMs: Long?,
    )

    /** Writes the head of a response whose body follows in chunks. */
    fun begin(
        status: Int,
        headers: HttpHeaders,
    )

    /**
     * Writes a chunk of the body; suspends while the write buffer of the connection is full. [endpointUnreadMs] tells for how long
     * the endpoint's response has not been read meanwhile; the connection of a caller that reads nothing is closed before that
     * becomes too long.
     */
    suspend fun write(
        bytes: ByteArray,
        endpointUnreadMs: () -> Long,
    )

    /** Writes the end of a response that [begin] started. */
    fun finish()

    /** Closes the connection without ending the body, so that the caller can tell that the response is incomplete. */
    fun abort()
}
