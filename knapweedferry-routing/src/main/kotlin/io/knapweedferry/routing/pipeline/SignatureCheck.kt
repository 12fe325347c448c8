package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.CallDialect
import io.netty.handler.codec.http.HttpHeaders

/** A success without proof of its origin may come from anywhere, so it counts as a lost answer. */
internal object SignatureCheck {
    private val SUCCESSES = 200..299

    fun isMissing(
        dialect: CallDialect,
        status: Int,
        headers: HttpHeaders,
    ): Boolean = status in SUCCESSES && !dialect.isSigned(headers)
}
