package io.knapweedferry.routing.explain

import io.knapweedferry.routing.pipeline.CallerReply
import io.knapweedferry.routing.pipeline.LocalResponse
import io.netty.handler.codec.http.HttpHeaders

/** Reply of a request that is explained and not served. Each write is an error. */
internal object UnusedReply : CallerReply {
    override val hasStarted = false

    override val isFinished = false

    override fun deliver(
        status: Int,
        headers: HttpHeaders,
        body: ByteArray,
    ): Unit = fail()

    override fun refuse(
        response: LocalResponse,
        retryAfterMs: Long?,
    ): Unit = fail()

    override fun begin(
        status: Int,
        headers: HttpHeaders,
    ): Unit = fail()

    override suspend fun write(
        bytes: ByteArray,
        endpointUnreadMs: () -> Long,
    ): Unit = fail()

    override fun finish(): Unit = fail()

    override fun abort(): Unit = fail()

    private fun fail(): Nothing = error("a request that is only explained has no caller")
}
