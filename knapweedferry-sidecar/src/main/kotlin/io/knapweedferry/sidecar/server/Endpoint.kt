package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.Rank
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.RankPolicy

/** An endpoint of this sidecar: an engine or a plain service. */
internal sealed interface Endpoint {
    val id: EndpointId
    val state: EndpointState

    fun load(assignment: EndpointAssignment?): LoadSummary

    /** Applies the rank policies of a new configuration to queued and future requests. */
    fun applyRanks(ranks: Map<Rank, RankPolicy>)

    /** Refuses all queued requests; called when the endpoint stops accepting work. */
    fun refuseQueued()

    /** Cancels an attempt and frees its resources; true if nothing had been submitted to the engine or service. */
    suspend fun cancel(key: AttemptKey): Boolean
}
