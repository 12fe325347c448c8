package io.knapweedferry.testing.measure

import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.testing.deploy.DeploymentPlan
import io.knapweedferry.testing.deploy.LocalDeployment
import io.knapweedferry.testing.load.LoadRun
import java.nio.file.Path

/** Runs the load once against a fresh deployment, which is stopped afterwards. */
internal class MeasureRun(
    private val deploymentName: String,
    private val plan: DeploymentPlan,
    private val policy: MeasuredPolicy,
    private val scenario: MeasuredScenario,
) {
    fun run(
        seed: Long,
        durationMs: Long,
        folder: Path,
    ): Measurement =
        LocalDeployment(plan, folder, withFaultProxies = scenario.fault == MeasuredFault.CUT).use { deployment ->
            deployment.start()
            val load = MeasuredLoad(plan, deployment.entries.indices.map(deployment::entryUrl))
            // Warms up the JVMs: the first requests are slow until their code is compiled.
            LoadRun(load.scenario(MeasuredScenario.QUIET, WARM_UP_SEED, WARM_UP_MS)).run()
            val faults = scenario.fault?.let { FaultSchedule(deployment, it, decodeEngines()) }
            val report = faults.use { LoadRun(load.scenario(scenario, seed, durationMs)).run() }
            Measurement(deploymentName, scenario, policy, PrefillWaste(deployment).share(), faults?.count ?: 0, report)
        }

    private fun decodeEngines() = plan.engines.filter { it.role == EndpointRole.DECODE }.map { it.name }

    private companion object {
        const val WARM_UP_SEED = 1_000L
        const val WARM_UP_MS = 3_000L
    }
}
