package io.knapweedferry.session

import kotlinx.coroutines.CoroutineScope

/** Dependencies shared by all sessions of a client or server. */
internal class SessionContext(
    val settings: SessionSettings,
    val counters: SessionCounters,
    val scope: CoroutineScope,
)
