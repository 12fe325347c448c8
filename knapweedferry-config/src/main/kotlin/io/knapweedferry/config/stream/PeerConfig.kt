package io.knapweedferry.config.stream

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer

/** Asks another process for its configuration while the log does not answer. */
public fun interface PeerConfig {
    /** Returns a peer's configuration; its state is null if it has nothing newer. Null if no peer could be asked. */
    public suspend fun pull(newerThan: Revision): ConfigOffer?
}
