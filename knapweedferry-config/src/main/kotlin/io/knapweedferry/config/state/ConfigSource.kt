package io.knapweedferry.config.state

/** Where the request path reads the configuration; a single volatile read of an immutable value. */
public fun interface ConfigSource {
    /** Newest configuration, or null while the process has none. */
    public fun current(): ConfigSnapshot?
}
