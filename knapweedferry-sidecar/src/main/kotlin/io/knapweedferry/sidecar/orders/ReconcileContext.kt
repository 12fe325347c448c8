package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.sidecar.server.SidecarContext

/** Dependencies shared by the reconcilers of a sidecar. */
internal class ReconcileContext(
    val sidecar: SidecarContext,
    val targets: (EndpointId) -> ConfigSource,
    val settings: ReconcileSettings,
    val refresh: ConfigRefresh,
    val reporter: StepReporter,
    val pauses: PauseDetector,
)
