package io.knapweedferry.testing.measure

import io.knapweedferry.testing.load.LoadScenario
import io.knapweedferry.testing.load.RankReport
import java.util.Locale

/** Renders measurements as a Markdown table with the median and range over the seeds. */
internal object MeasureTable {
    private const val HEADER =
        "| scenario | policy | goodput/s | of bound | times baseline | wasted prefill % | urgent p95 first ms | " +
            "in target % urgent/standard/background | share of answers in target % u/s/b | runs |\n" +
            "| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |"

    /** Returns the table, with one row for each scenario and policy. */
    fun render(all: List<Measurement>): String =
        all.groupBy { it.scenario to it.policy }.entries.joinToString("\n", prefix = HEADER + "\n", postfix = "\n") { (key, runs) ->
            row(key.first, key.second, runs, all)
        }

    private fun row(
        scenario: MeasuredScenario,
        policy: MeasuredPolicy,
        runs: List<Measurement>,
        all: List<Measurement>,
    ): String {
        val baseline = all.filter { it.scenario == scenario && it.policy == MeasuredPolicy.BASELINE }.associateBy { it.load.seed }
        val ratios = runs.mapNotNull { run -> baseline[run.load.seed]?.let { ratio(run.load.inTarget, it.load.inTarget) } }
        val cells =
            listOf(
                scenario.name.lowercase(),
                policy.name.lowercase(),
                range(runs.map(::goodput)),
                range(runs.map { it.load.inTarget / it.load.bound }),
                range(ratios),
                range(runs.map { it.wastedPrefillShare * PERCENT }),
                range(
                    runs.map { run ->
                        run.load.ranks
                            .firstOrNull { it.rank == "urgent" }
                            ?.firstToken
                            ?.p95Ms ?: 0.0
                    },
                ),
                byRank(runs) { _, rank -> percent(rank.inTarget, rank.offered) },
                byRank(runs) { run, rank -> percent(rank.inTarget, run.load.inTarget) },
                runs.size.toString(),
            )
        return cells.joinToString(" | ", "| ", " |")
    }

    private fun goodput(run: Measurement): Double = run.load.inTarget * MS_PER_SECOND / run.load.durationMs

    private fun ratio(
        value: Int,
        base: Int,
    ): Double = value.toDouble() / base.coerceAtLeast(1)

    private fun percent(
        part: Int,
        whole: Int,
    ): Double = ratio(part, whole) * PERCENT

    private fun byRank(
        runs: List<Measurement>,
        value: (Measurement, RankReport) -> Double,
    ): String =
        LoadScenario.RANKS.joinToString(" / ") { rank ->
            median(
                runs.mapNotNull { run ->
                    run.load.ranks
                        .firstOrNull { it.rank == rank }
                        ?.let { value(run, it) }
                },
            )?.let(::decimal) ?: "-"
        }

    private fun range(values: List<Double>): String {
        val middle = median(values) ?: return "-"
        return "${decimal(middle)} (${decimal(values.min())} to ${decimal(values.max())})"
    }

    private fun median(values: List<Double>): Double? = values.sorted().getOrNull((values.size - 1) / 2)

    private fun decimal(value: Double): String = "%.2f".format(Locale.ROOT, value)

    private const val PERCENT = 100.0
    private const val MS_PER_SECOND = 1_000.0
}
