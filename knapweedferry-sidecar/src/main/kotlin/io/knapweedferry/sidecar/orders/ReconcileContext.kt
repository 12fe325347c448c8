package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.sidecar.server.SidecarContext

/** What the switches of all endpoints of one sidecar share. */
internal class ReconcileContext(
    val sidecar: SidecarContext,
    val targets: (EndpointId) -> ConfigSource,
    val settings: OrderSettings,
    val refresh: ConfigRefresh,
    val reporter: StepReporter,
    val pauses: PauseDetector,
)
