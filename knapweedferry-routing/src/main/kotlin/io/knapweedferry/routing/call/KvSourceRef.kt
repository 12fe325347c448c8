package io.knapweedferry.routing.call

import java.net.InetSocketAddress

/** Names a KV cache that an endpoint keeps until it is fetched once. */
public data class KvSourceRef(
    val address: InetSocketAddress,
    val handle: String,
)
