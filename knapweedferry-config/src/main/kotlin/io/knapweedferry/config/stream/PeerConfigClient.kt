package io.knapweedferry.config.stream

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer

/** Fetches the configuration from another process while the log is unavailable. */
public fun interface PeerConfigClient {
    /** Returns the reply of a peer, without a state if the peer has nothing newer than [newerThan]; null if no peer is reachable. */
    public suspend fun pull(newerThan: Revision): ConfigOffer?
}
