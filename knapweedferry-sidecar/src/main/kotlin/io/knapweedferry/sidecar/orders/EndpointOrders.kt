package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.sidecar.server.Endpoint
import io.knapweedferry.sidecar.server.EngineEndpoint
import io.knapweedferry.sidecar.server.Sidecar
import kotlinx.coroutines.launch

/** Follows the configuration and gives the engines of a sidecar their orders. */
public class EndpointOrders(
    private val sidecar: Sidecar,
    refresh: ConfigRefresh,
    reporter: StepReporter,
    /** Configuration that an endpoint is to follow now; during a plan it names the step that is due. */
    targets: (EndpointId) -> ConfigSource = { sidecar.context.config },
    settings: OrderSettings = OrderSettings(),
    wallClockMs: () -> Long = System::currentTimeMillis,
) {
    private val pauses = PauseDetector(sidecar.context.clock, wallClockMs, settings.pauseMs)
    private val context = ReconcileContext(sidecar.context, targets, settings, refresh, reporter, pauses)

    /** Starts to follow; each engine takes work once it serves what the configuration assigns to it. */
    public fun start() {
        sidecar.context.scope.launch { pauses.run() }
        sidecar.endpoints.all.forEach { endpoint -> sidecar.context.scope.launch { reconciler(endpoint).run() } }
    }

    private fun reconciler(endpoint: Endpoint): EndpointReconciler =
        if (endpoint is EngineEndpoint) EngineReconciler(endpoint, context) else EndpointReconciler(endpoint, context)
}
