package io.knapweedferry.testing.load

import java.util.Locale

/** Renders a report as a plain-text table. */
public object LoadTable {
    private val HEADER =
        "%-11s %8s %9s %9s %8s %9s %9s %9s %9s %7s %7s %8s".format(
            Locale.ROOT,
            "rank",
            "offered",
            "completed",
            "in_target",
            "per_s",
            "first_p50",
            "first_p95",
            "inter_p50",
            "inter_p95",
            "calm",
            "flood",
            "of_flood",
        )

    /** Returns the table. Times are in milliseconds; the last three columns are shares from 0 to 1. */
    public fun render(report: LoadReport): String =
        buildString {
            appendLine("scenario ${report.scenario}, seed ${report.seed}, ${report.durationMs} ms, driver lag ${report.driverLagMaxMs} ms")
            appendLine(HEADER)
            report.ranks.forEach { appendLine(row(it)) }
            appendLine("in target ${report.inTarget} of ${report.offered} offered, upper bound ${decimal(report.bound)}")
            report.ranks.forEach { appendReasons(it) }
        }

    private fun row(rank: RankReport): String =
        "%-11s %8d %9d %9d %8s %9s %9s %9s %9s %7s %7s %8s".format(
            Locale.ROOT,
            rank.rank,
            rank.offered,
            rank.completed,
            rank.inTarget,
            decimal(rank.goodputPerSecond),
            decimal(rank.firstToken.p50Ms),
            decimal(rank.firstToken.p95Ms),
            decimal(rank.interToken.p50Ms),
            decimal(rank.interToken.p95Ms),
            share(rank.shareOutsideFlood),
            share(rank.shareDuringFlood),
            share(rank.shareOfGoodputDuringFlood),
        )

    private fun StringBuilder.appendReasons(rank: RankReport) {
        rank.refusals.forEach { (reason, count) -> appendLine("${rank.rank} refused $reason $count") }
        rank.failures.forEach { (reason, count) -> appendLine("${rank.rank} failed $reason $count") }
    }

    private fun decimal(value: Double): String = "%.1f".format(Locale.ROOT, value)

    private fun share(value: Double?): String = if (value == null) "-" else "%.3f".format(Locale.ROOT, value)
}
