package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.engine.EngineLoad

/** Model and role that an engine serves or is assigned to serve. */
internal data class ServedModel(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
) {
    /** Whether an engine that serves this may handle requests for [other] until it is changed. */
    fun canServeInPlaceOf(other: ServedModel): Boolean = model == other.model && role == other.role

    companion object {
        /** Model that [snapshot] assigns to [endpoint], or null if it assigns none. */
        fun assigned(
            snapshot: ConfigSnapshot,
            endpoint: EndpointId,
        ): ServedModel? {
            val assignment = snapshot.state.endpoints[endpoint] ?: return null
            val model = assignment.model ?: return null
            val policy = snapshot.state.models[model] ?: return null
            if (assignment.role == EndpointRole.SERVICE) return null
            return ServedModel(model.value, policy.version, assignment.adapter, assignment.role.name)
        }

        /** Model that an engine reports; engines do not report adapters. */
        fun reported(load: EngineLoad) = ServedModel(load.model, load.version, adapter = null, load.role.uppercase())
    }
}
