package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName

/** One version of the routing configuration. Immutable, so that a request uses the same version from start to end. */
public class RouteTable(
    public val version: Long,
    routes: List<Route>,
    services: List<ServiceProfile>,
    public val limits: CallerLimits,
    /** Null if callers need no API key. */
    public val organisations: List<Organisation>? = null,
) {
    /** Longest prefix first, so that the first match is the most specific one. */
    private val byHost: Map<String, List<Route>> =
        routes.groupBy { it.host.lowercase() }.mapValues { (_, found) -> found.sortedByDescending { it.pathPrefix.length } }

    private val services: Map<ServiceName, ServiceProfile> = services.associateBy { it.name }

    private val byKey: Map<ApiKey, Organisation> =
        organisations.orEmpty().flatMap { organisation -> organisation.apiKeys.map { it to organisation } }.toMap()

    public val routeCount: Int = routes.size

    /** Returns the route with the longest matching prefix. [host] may include a port and [target] a query; port and query are ignored. */
    public fun find(
        host: String,
        target: String,
    ): Route? {
        val path = target.substringBefore('?')
        val name = host.substringBefore(':').lowercase()
        return byHost[name]?.firstOrNull { path.startsWith(it.pathPrefix) }
    }

    /** Organisation that holds [key]; null if no organisation does. */
    public fun organisation(key: ApiKey): Organisation? = byKey[key]

    public fun service(name: ServiceName): ServiceProfile? = services[name]
}
