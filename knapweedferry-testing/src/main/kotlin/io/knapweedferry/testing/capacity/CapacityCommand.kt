package io.knapweedferry.testing.capacity

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.nio.file.Files
import java.nio.file.Path

/** Measures the resource usage of daemons on loopback. The figures in `docs/CAPACITY.md` are derived from its output. */
@OptIn(ExperimentalCli::class)
internal class CapacityCommand : Subcommand("capacity", "Measure memory, processor time and bytes of real daemons") {
    /** Measurements to choose from. */
    internal enum class Kind { FLEET, REQUESTS, CLAIMS, ROLLOUT }

    private val kind by argument(ArgType.Choice<Kind>(), "measurement", description = "what to measure")
    private val seconds by option(ArgType.Int, "seconds", description = "Length of each sample").default(DEFAULT_SECONDS)

    override fun execute() {
        val folder = Files.createTempDirectory("knapweedferry-capacity")
        when (kind) {
            Kind.FLEET -> withSmallDeployment(folder) { measureFleetSizes(FleetSizeBenchmark(it, seconds.toLong())) }
            Kind.REQUESTS -> withSmallDeployment(folder) { measureRequestRates(RequestRateBenchmark(it, seconds)) }
            Kind.CLAIMS -> withSmallDeployment(folder) { deployment -> measureClaims(ClaimBenchmark(deployment, seconds)) }
            Kind.ROLLOUT -> ROLLOUT_SIDECARS.forEach { RolloutBenchmark(folder).measure(it) }
        }
    }

    private fun withSmallDeployment(
        folder: Path,
        measure: (LocalDeployment) -> Unit,
    ) = LocalDeployment(Deployments.small(), folder).use {
        it.start()
        measure(it)
    }

    private fun measureFleetSizes(benchmark: FleetSizeBenchmark) {
        println("instance_poll_ms is 200 in test deployments; the default is 1000")
        benchmark.measure(endpoints = 0, organisations = 0, models = 0)
        benchmark.measure(endpoints = 10, organisations = 10, models = 0)
        benchmark.measure(endpoints = 100, organisations = 10, models = 0)
        benchmark.measure(endpoints = 600, organisations = 10, models = 0)
        benchmark.measure(endpoints = 600, organisations = 100, models = 0)
        benchmark.measure(endpoints = 600, organisations = 660, models = 18)
    }

    private fun measureRequestRates(benchmark: RequestRateBenchmark) {
        // The first result is to be discarded, because it includes class loading and JIT compilation.
        benchmark.measure(perSecond = 10, answerTokens = 10)
        for (rate in REQUESTS_PER_SECOND) benchmark.measure(rate, answerTokens = 10)
        benchmark.measure(perSecond = 10, answerTokens = 40)
    }

    private fun measureClaims(benchmark: ClaimBenchmark) {
        // The first result is to be discarded, because it includes class loading and JIT compilation.
        for (callers in CLAIM_CALLERS) benchmark.measure(callers)
    }

    private companion object {
        const val DEFAULT_SECONDS = 5
        val ROLLOUT_SIDECARS = listOf(4, 12, 24)
        val REQUESTS_PER_SECOND = listOf(5, 10, 20)
        val CLAIM_CALLERS = listOf(4, 4, 16, 64)
    }
}
