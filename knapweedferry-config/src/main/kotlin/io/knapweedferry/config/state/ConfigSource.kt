package io.knapweedferry.config.state

/** Gives the request path the current configuration. Reading it is cheap: one volatile read of an immutable value. */
public fun interface ConfigSource {
    /** Returns the latest configuration, or null if the process has no usable one. */
    public fun current(): ConfigSnapshot?
}
