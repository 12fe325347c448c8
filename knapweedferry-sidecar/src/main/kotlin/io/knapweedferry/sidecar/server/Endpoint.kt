package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadDigest
import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.RankPolicy

/** An endpoint as the handlers see it. */
internal sealed interface Endpoint {
    val id: EndpointId
    val state: EndpointState

    fun load(assignment: EndpointAssignment?): LoadDigest

    /** Applies the rules for ranks of a new configuration to what waits and what comes. */
    fun applyRanks(ranks: Map<Rank, RankPolicy>)

    /** Refuses what waits; called when the endpoint stops taking work. */
    fun refuseQueued()

    /** Frees what is held for an attempt; true if nothing had been submitted. */
    suspend fun cancel(key: AttemptKey): Boolean
}
