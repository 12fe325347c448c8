package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.UpstreamProtocol
import io.netty.handler.codec.http.HttpHeaders

/** A successful response without the signature of an endpoint may come from anywhere, so it is treated as lost. */
internal object SignatureCheck {
    private val SUCCESSES = 200..299

    fun isMissing(
        protocol: UpstreamProtocol,
        status: Int,
        headers: HttpHeaders,
    ): Boolean = status in SUCCESSES && !protocol.isSigned(headers)
}
