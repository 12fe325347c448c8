package io.knapweedferry.routing.fleet

import io.knapweedferry.api.ServiceName
import io.knapweedferry.policy.routing.StageDemand

/** Demand of each service for engines in the prefill stage, as seen by this entry. Confined to the event loop. */
internal class StageDemands {
    private val demands = HashMap<ServiceName, StageDemand>()

    fun of(service: ServiceName): StageDemand = demands.getOrPut(service) { StageDemand() }
}
