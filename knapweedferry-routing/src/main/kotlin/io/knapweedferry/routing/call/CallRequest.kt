package io.knapweedferry.routing.call

import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod
import kotlin.time.TimeMark

/** One request as received from its caller, with its complete body. */
public class CallRequest(
    public val method: HttpMethod,
    /** Path and query, unmodified. */
    public val target: String,
    public val host: String,
    public val headers: HttpHeaders,
    public val body: ByteArray,
    public val traits: CallTraits,
    /** When the first bytes of the request arrived. */
    public val arrived: TimeMark,
) {
    public val elapsedMs: Long get() = arrived.elapsedNow().inWholeMilliseconds
}
