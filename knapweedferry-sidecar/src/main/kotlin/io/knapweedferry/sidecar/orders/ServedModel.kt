package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.engine.EngineLoad

/** What an engine serves, or is to serve. */
internal data class ServedModel(
    val model: String,
    val version: String,
    val adapter: String?,
    val role: String,
) {
    /** Whether an engine that serves this may do the work of [other] until it is changed. */
    fun canServeInPlaceOf(other: ServedModel): Boolean = model == other.model && role == other.role

    companion object {
        /** What [snapshot] assigns to [endpoint], or null if it assigns nothing to load. */
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

        /** What an engine reports; engines do not report adapters. */
        fun reported(load: EngineLoad) = ServedModel(load.model, load.version, adapter = null, load.role.uppercase())
    }
}
