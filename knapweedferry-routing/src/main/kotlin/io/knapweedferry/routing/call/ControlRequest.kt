package io.knapweedferry.routing.call

import io.netty.handler.codec.http.EmptyHttpHeaders
import io.netty.handler.codec.http.HttpHeaders
import io.netty.handler.codec.http.HttpMethod

/** Request to an endpoint that originates in the entry, such as a reservation. */
public class ControlRequest(
    public val method: HttpMethod,
    public val target: String,
    /** JSON document, or empty. */
    public val body: ByteArray = ByteArray(0),
    public val headers: HttpHeaders = EmptyHttpHeaders.INSTANCE,
)
