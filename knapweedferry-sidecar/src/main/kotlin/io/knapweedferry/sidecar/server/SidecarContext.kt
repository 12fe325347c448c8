package io.knapweedferry.sidecar.server

import io.knapweedferry.config.state.ConfigSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.job
import kotlinx.coroutines.plus

/** What all handlers and endpoints of one sidecar share. */
internal class SidecarContext(
    val settings: SidecarSettings,
    val config: ConfigSource,
    val clock: MonotonicClock,
    val counters: SidecarCounters,
    parent: CoroutineScope,
) {
    /** A fault in one stream or timer does not end the others. */
    val scope: CoroutineScope = parent + SupervisorJob(parent.coroutineContext.job)

    /** True once the sidecar takes no new work at all. */
    @Volatile
    var draining: Boolean = false
}
