package io.knapweedferry.sidecar.server

import io.knapweedferry.api.EndpointId

/** The endpoints of one sidecar by id. */
internal class Endpoints(
    definitions: List<EndpointDefinition>,
    context: SidecarContext,
    gates: GateFactory,
) {
    private val byId: Map<EndpointId, Endpoint> =
        definitions.associate { definition ->
            definition.id to
                when (definition) {
                    is EndpointDefinition.OfEngine ->
                        EngineEndpoint(definition.copy(engine = ExceptionMappingEngine(definition.engine)), context, gates)
                    is EndpointDefinition.OfService -> ServiceEndpoint(definition, context, gates)
                }
        }

    val all: Collection<Endpoint> get() = byId.values

    val engines: List<EngineEndpoint> get() = all.filterIsInstance<EngineEndpoint>()

    operator fun get(id: EndpointId): Endpoint? = byId[id]

    fun engine(id: EndpointId): EngineEndpoint? = byId[id] as? EngineEndpoint

    fun service(id: EndpointId): ServiceEndpoint? = byId[id] as? ServiceEndpoint
}
