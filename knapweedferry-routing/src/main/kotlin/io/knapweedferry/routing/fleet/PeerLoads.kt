package io.knapweedferry.routing.fleet

import io.knapweedferry.api.EndpointId
import io.knapweedferry.policy.routing.EndpointLoad

/** Work that other entries have in progress, as far as they told. */
internal fun interface PeerLoads {
    fun at(endpoint: EndpointId): EndpointLoad

    companion object {
        val NONE = PeerLoads { EndpointLoad.NONE }
    }
}
