package io.knapweedferry.routing.pipeline

import io.netty.handler.codec.http.HttpHeaders

/** Way back to the caller of one request. */
internal interface CallerReply {
    /** True once a first byte was written; no other answer is possible then. */
    val hasStarted: Boolean

    /** True once the whole answer was written. */
    val isFinished: Boolean

    /** Writes a whole answer of an endpoint. */
    fun deliver(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    )

    /** Writes an answer of the router itself. */
    fun refuse(
        answer: LocalAnswer,
        retryAfterMs: Long?,
    )

    /** Begins an answer whose body follows in pieces. */
    fun begin(
        status: Int,
        headers: HttpHeaders,
    )

    /** Writes a piece and waits while the caller reads too slowly. */
    suspend fun write(bytes: ByteArray)

    /** Marks the answer as complete. */
    fun finish()

    /** Ends the connection, so that the answer does not look complete. */
    fun abort()
}
