package io.knapweedferry.entry.http

import io.javalin.config.JavalinConfig

/** Routes that register themselves on the server of an entry. */
public fun interface RouteGroup {
    /** Adds the routes to [config]. */
    public fun register(config: JavalinConfig)
}
