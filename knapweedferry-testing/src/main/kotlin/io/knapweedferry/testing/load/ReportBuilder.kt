package io.knapweedferry.testing.load

/** Works out a [LoadReport] from the results of a run. */
public class ReportBuilder(
    private val scenario: LoadScenario,
) {
    private val bound = GoodputBound(scenario)

    /** Returns the report. */
    public fun build(
        results: List<RequestResult>,
        driverLagMaxMs: Double,
    ): LoadReport =
        LoadReport(
            scenario = scenario.name,
            seed = scenario.seed,
            durationMs = scenario.durationMs,
            offered = results.size,
            inTarget = results.count { isGood(it) },
            bound = bound.of(results.map { it.request }),
            driverLagMaxMs = driverLagMaxMs,
            ranks =
                LoadScenario.RANKS
                    .map { rank -> rank to results.filter { it.request.work.rank == rank } }
                    .filter { (_, own) -> own.isNotEmpty() }
                    .map { (rank, own) -> rankReport(rank, own, results) },
        )

    private fun rankReport(
        rank: String,
        own: List<RequestResult>,
        all: List<RequestResult>,
    ): RankReport {
        val completed = own.filter { it.kind == ResultKind.COMPLETED }
        val good = own.count { isGood(it) }
        val (flooded, calm) = own.partition { isFlooded(it) }
        val goodInFlood = all.count { isFlooded(it) && isGood(it) }
        return RankReport(
            rank = rank,
            offered = own.size,
            completed = completed.size,
            inTarget = good,
            goodputPerSecond = good * MS_PER_SECOND / scenario.durationMs,
            refusals = reasons(own, ResultKind.REFUSED),
            failures = reasons(own, ResultKind.FAILED),
            firstToken = Percentiles.of(completed.map { it.firstTokenMs }),
            interToken = Percentiles.of(completed.flatMap { it.gapsMs }),
            shareOutsideFlood = share(calm),
            shareDuringFlood = share(flooded),
            shareOfGoodputDuringFlood = if (goodInFlood == 0) null else flooded.count { isGood(it) }.toDouble() / goodInFlood,
            boundAlone = bound.of(own.map { it.request }),
        )
    }

    private fun isGood(result: RequestResult): Boolean = result.meets(scenario.target(result.request.work.rank))

    private fun isFlooded(result: RequestResult): Boolean = scenario.isFlooded(result.request.atMs)

    private fun share(results: List<RequestResult>): Double? =
        if (results.isEmpty()) null else results.count { isGood(it) }.toDouble() / results.size

    private fun reasons(
        results: List<RequestResult>,
        kind: ResultKind,
    ): Map<String, Int> =
        results
            .filter { it.kind == kind }
            .groupingBy { it.reason }
            .eachCount()
            .toSortedMap()

    private companion object {
        const val MS_PER_SECOND = 1_000.0
    }
}
