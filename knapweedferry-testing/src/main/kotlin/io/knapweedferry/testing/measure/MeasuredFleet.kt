package io.knapweedferry.testing.measure

import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.deploy.DeploymentPlan
import io.knapweedferry.testing.standin.settings.EnginePerformance

/** Scales a deployment down so that it fits on one machine. */
internal class MeasuredFleet(
    private val prefillEngines: Int,
    private val decodeEngines: Int,
    private val entryCount: Int,
) {
    /** Returns [plan] with the first engines of each role and one service, under [policy]. */
    fun scaleDown(
        plan: DeploymentPlan,
        policy: MeasuredPolicy,
    ): DeploymentPlan =
        plan.copy(
            entryCount = entryCount,
            engines = first(plan, EndpointRole.PREFILL, prefillEngines) + first(plan, EndpointRole.DECODE, decodeEngines),
            services = plan.services.take(1),
            enginePerformance = EnginePerformance(baseTokenMs = BASE_TOKEN_MS),
            entrySettings = policy.entrySettings,
            sidecarSettings = policy.sidecarSettings,
        )

    private companion object {
        /** With 8 ms, three engines generated 3,800 tokens per second and the CPU, not the engines, was the bottleneck. */
        const val BASE_TOKEN_MS = 14.0
    }

    private fun first(
        plan: DeploymentPlan,
        role: EndpointRole,
        count: Int,
    ) = plan.engines.filter { it.role == role }.take(count)
}
