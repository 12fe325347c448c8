package io.knapweedferry.testing.load

/** Aggregates the results of a run into a [LoadReport]. */
public class ReportBuilder(
    private val scenario: LoadScenario,
) {
    private val bound = GoodputBound(scenario)

    /** Returns the report for [results]; [driverLagMaxMs] is the longest delay of a request start. */
    public fun build(
        results: List<RequestResult>,
        driverLagMaxMs: Double,
    ): LoadReport =
        LoadReport(
            scenario = scenario.name,
            seed = scenario.seed,
            durationMs = scenario.durationMs,
            offered = results.size,
            inTarget = results.count { isWithinTarget(it) },
            bound = bound.of(results.map { it.request }),
            driverLagMaxMs = driverLagMaxMs,
            ranks =
                LoadScenario.RANKS
                    .map { rank -> rank to results.filter { it.request.work.rank == rank } }
                    .filter { (_, rankResults) -> rankResults.isNotEmpty() }
                    .map { (rank, rankResults) -> rankReport(rank, rankResults, results) },
        )

    private fun rankReport(
        rank: String,
        rankResults: List<RequestResult>,
        all: List<RequestResult>,
    ): RankReport {
        val completed = rankResults.filter { it.kind == ResultKind.COMPLETED }
        val withinTarget = rankResults.count { isWithinTarget(it) }
        val (duringFlood, outsideFlood) = rankResults.partition { isFlooded(it) }
        val withinTargetDuringFlood = all.count { isFlooded(it) && isWithinTarget(it) }
        return RankReport(
            rank = rank,
            offered = rankResults.size,
            completed = completed.size,
            inTarget = withinTarget,
            goodputPerSecond = withinTarget * MS_PER_SECOND / scenario.durationMs,
            refusals = reasons(rankResults, ResultKind.REFUSED),
            failures = reasons(rankResults, ResultKind.FAILED),
            firstToken = Percentiles.of(completed.map { it.firstTokenMs }),
            interToken = Percentiles.of(completed.flatMap { it.tokenGapsMs }),
            shareOutsideFlood = share(outsideFlood),
            shareDuringFlood = share(duringFlood),
            shareOfGoodputDuringFlood =
                if (withinTargetDuringFlood ==
                    0
                ) {
                    null
                } else {
                    duringFlood.count { isWithinTarget(it) }.toDouble() / withinTargetDuringFlood
                },
            boundAlone = bound.of(rankResults.map { it.request }),
        )
    }

    private fun isWithinTarget(result: RequestResult): Boolean = result.meets(scenario.target(result.request.work.rank))

    private fun isFlooded(result: RequestResult): Boolean = scenario.isFlooded(result.request.atMs)

    private fun share(results: List<RequestResult>): Double? =
        if (results.isEmpty()) null else results.count { isWithinTarget(it) }.toDouble() / results.size

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
