package io.knapweedferry.sidecar.server

import io.knapweedferry.config.state.ConfigSource
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.job
import kotlinx.coroutines.plus

/** State and dependencies shared by the handlers and endpoints of a sidecar. */
internal class SidecarContext(
    val settings: SidecarSettings,
    val config: ConfigSource,
    val clock: MonotonicClock,
    val counters: SidecarCounters,
    parent: CoroutineScope,
) {
    /** Supervised, so that a failure in one stream or timer does not cancel the others. */
    val scope: CoroutineScope = parent + SupervisorJob(parent.coroutineContext.job)

    /** True once the sidecar accepts no new work. */
    @Volatile
    var draining: Boolean = false
}
