package io.knapweedferry.session

import kotlinx.coroutines.CoroutineScope

/** What all sessions of one client or server share. */
internal class SessionContext(
    val settings: SessionSettings,
    val counters: SessionCounters,
    val scope: CoroutineScope,
)
