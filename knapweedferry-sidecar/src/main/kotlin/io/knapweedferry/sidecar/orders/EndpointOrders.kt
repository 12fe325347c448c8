package io.knapweedferry.sidecar.orders

import io.knapweedferry.sidecar.server.Sidecar
import kotlinx.coroutines.launch

/** Follows the configuration and gives the engines of a sidecar their orders. */
public class EndpointOrders(
    private val sidecar: Sidecar,
    refresh: ConfigRefresh,
    reporter: StepReporter,
    settings: OrderSettings = OrderSettings(),
    wallClockMs: () -> Long = System::currentTimeMillis,
) {
    private val pauses = PauseDetector(sidecar.context.clock, wallClockMs, settings.pauseMs)
    private val context = OrderContext(sidecar.context, settings, refresh, reporter, pauses)

    /** Starts to follow; each engine takes work once it serves what the configuration assigns to it. */
    public fun start() {
        sidecar.context.scope.launch { pauses.run() }
        sidecar.endpoints.engines.forEach { engine -> sidecar.context.scope.launch { EngineSwitch(engine, context).run() } }
    }
}
