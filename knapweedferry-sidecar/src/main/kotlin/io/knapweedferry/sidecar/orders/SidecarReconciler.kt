package io.knapweedferry.sidecar.orders

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.sidecar.server.Endpoint
import io.knapweedferry.sidecar.server.EngineEndpoint
import io.knapweedferry.sidecar.server.Sidecar
import kotlinx.coroutines.launch

/** Reconciles the endpoints of a sidecar with the configuration, each by its own [EndpointReconciler]. */
public class SidecarReconciler(
    private val sidecar: Sidecar,
    refresh: ConfigRefresh,
    reporter: StepReporter,
    /** Target configuration of an endpoint; during a plan, that of the step that is due. */
    targets: (EndpointId) -> ConfigSource = { sidecar.context.config },
    settings: ReconcileSettings = ReconcileSettings(),
    wallClockMs: () -> Long = System::currentTimeMillis,
) {
    private val pauses = PauseDetector(sidecar.context.clock, wallClockMs, settings.pauseThresholdMs)
    private val context = ReconcileContext(sidecar.context, targets, settings, refresh, reporter, pauses)

    /** Starts reconciling; each engine accepts work once it serves the assigned model. */
    public fun start() {
        sidecar.context.scope.launch { pauses.run() }
        sidecar.endpoints.all.forEach { endpoint -> sidecar.context.scope.launch { reconciler(endpoint).run() } }
    }

    private fun reconciler(endpoint: Endpoint): EndpointReconciler =
        if (endpoint is EngineEndpoint) EngineReconciler(endpoint, context) else EndpointReconciler(endpoint, context)
}
