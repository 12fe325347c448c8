package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadDigest
import io.knapweedferry.config.state.EndpointAssignment

/** An endpoint as the handlers see it. */
internal sealed interface Endpoint {
    val id: EndpointId
    val state: EndpointState

    fun load(assignment: EndpointAssignment?): LoadDigest

    /** Refuses what waits; called when the endpoint stops taking work. */
    fun refuseWaiting()

    /** Frees what is held for an attempt; true if nothing had been submitted. */
    suspend fun cancel(key: WorkKey): Boolean
}
