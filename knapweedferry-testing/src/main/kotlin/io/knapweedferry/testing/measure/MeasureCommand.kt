package io.knapweedferry.testing.measure

import io.knapweedferry.testing.deploy.Deployments
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import java.nio.file.Files

/** Compares routing policies on real daemons. Prints one line of JSON for each run, then a summary table. */
@OptIn(ExperimentalCli::class)
internal class MeasureCommand : Subcommand("measure", "Compare routing policies with real daemons under the same seeded load") {
    /** Deployments to choose from. */
    internal enum class Kind { MERRIMACK, ITO }

    private val kind by option(ArgType.Choice<Kind>(), "deployment", description = "which deployment").default(Kind.MERRIMACK)
    private val scenarios by option(
        ArgType.Choice<MeasuredScenario>(),
        "scenario",
        description = "may be repeated; all if missing",
    ).multiple()
    private val policies by option(ArgType.Choice<MeasuredPolicy>(), "policy", description = "may be repeated; all if missing").multiple()
    private val seed by option(ArgType.Int, "seed", description = "first seed").default(1)
    private val runs by option(ArgType.Int, "runs", description = "seeds, each run once per policy").default(DEFAULT_RUNS)
    private val durationMs by option(ArgType.Int, "duration-ms", description = "length of a run").default(DEFAULT_DURATION_MS)
    private val prefill by option(ArgType.Int, "prefill", description = "prefill engines at most").default(DEFAULT_PREFILL_ENGINES)
    private val decode by option(ArgType.Int, "decode", description = "decode engines at most").default(DEFAULT_DECODE_ENGINES)
    private val entries by option(ArgType.Int, "entries", description = "entries").default(2)

    override fun execute() {
        val measured = scenarios.ifEmpty { MeasuredScenario.entries }.flatMap(::measure)
        print(MeasureTable.render(measured))
    }

    private fun measure(scenario: MeasuredScenario): List<Measurement> =
        List(runs) { seed.toLong() + it }.flatMap { runSeed ->
            // Policies alternate within each seed, so that other load on the machine affects both alike.
            policies.ifEmpty { MeasuredPolicy.entries }.map { run(scenario, it, runSeed) }
        }

    private fun run(
        scenario: MeasuredScenario,
        policy: MeasuredPolicy,
        runSeed: Long,
    ): Measurement {
        val fullPlan = if (kind == Kind.MERRIMACK) Deployments.merrimack() else Deployments.ito()
        val plan = MeasuredFleet(prefill, decode, entries).scaleDown(fullPlan, policy)
        val folder = Files.createTempDirectory("knapweedferry-measure")
        val measurement = MeasureRun(kind.name.lowercase(), plan, policy, scenario).run(runSeed, durationMs.toLong(), folder)
        println(measurement.toJson())
        System.out.flush()
        return measurement
    }

    private companion object {
        const val DEFAULT_RUNS = 3
        const val DEFAULT_DURATION_MS = 10_000
        const val DEFAULT_PREFILL_ENGINES = 1
        const val DEFAULT_DECODE_ENGINES = 2
    }
}
