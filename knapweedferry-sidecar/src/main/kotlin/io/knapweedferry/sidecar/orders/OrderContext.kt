package io.knapweedferry.sidecar.orders

import io.knapweedferry.sidecar.server.SidecarContext

/** What the switches of all endpoints of one sidecar share. */
internal class OrderContext(
    val sidecar: SidecarContext,
    val settings: OrderSettings,
    val refresh: ConfigRefresh,
    val reporter: StepReporter,
    val pauses: PauseDetector,
)
