package io.knapweedferry.config.state

/** Provides the current configuration to the request path. A call costs one volatile read of an immutable value. */
public fun interface ConfigSource {
    /** Returns the latest configuration, or null if the process has no usable one. */
    public fun current(): ConfigSnapshot?
}
