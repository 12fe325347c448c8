package io.knapweedferry.entry.http

import io.javalin.config.JavalinConfig

/** Group of routes on the HTTP server of an entry. */
public fun interface RouteGroup {
    /** Registers the routes in [config]. */
    public fun register(config: JavalinConfig)
}
