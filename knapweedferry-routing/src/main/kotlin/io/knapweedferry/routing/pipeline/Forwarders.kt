package io.knapweedferry.routing.pipeline

/** Forwarders of the kinds of requests. */
internal class Forwarders(
    /** For requests to plain services that are no streams. */
    val plain: PlainForwarder,
    /** For streams and all model requests. */
    val stream: StreamForwarder,
)
