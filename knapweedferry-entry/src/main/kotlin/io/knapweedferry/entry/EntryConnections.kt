package io.knapweedferry.entry

import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.entry.claim.ClaimService
import io.knapweedferry.entry.fleet.FleetView
import io.knapweedferry.session.SessionClient
import kotlinx.coroutines.CoroutineScope

/** Clients through which the request path of an entry reaches other processes. */
internal class EntryConnections(
    val scope: CoroutineScope,
    val sessions: SessionClient,
    val follower: ConfigFollower,
    val fleet: FleetView,
    val claims: ClaimService,
)
