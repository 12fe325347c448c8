package io.knapweedferry.cli.text

import io.knapweedferry.config.report.ChangeExplanation
import io.knapweedferry.config.report.ConfirmReport
import io.knapweedferry.config.report.HistoryReport
import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import java.time.Instant

/** Formats confirmations, the decision history and explanations. */
internal object ChangeFormatter {
    private val prettyJson = Json { prettyPrint = true }

    fun confirmation(body: String): String {
        val report = ReportJson.read(ConfirmReport.serializer(), body)
        val outcome = if (report.alreadyAccepted) "was accepted before" else "is accepted"
        return "plan ${report.plan.value} (${report.summary}) $outcome as revision ${report.revision.value}"
    }

    fun history(body: String): String = decisions(ReportJson.read(HistoryReport.serializer(), body).decisions)

    fun changeExplanation(body: String): String {
        val report = ReportJson.read(ChangeExplanation.serializer(), body)
        val parts =
            listOf(
                PlanFormatter.format(report.proposal),
                section("Confirmations", report.confirmations),
                section("Rejected in favour of this change", report.rejected),
                if (report.steps.isEmpty()) "" else "Progress:\n" + StatusFormatter.steps(report.steps),
                if (report.complete) "" else "Incomplete: some records have expired from the log, or there are too many to read.",
            )
        return parts.filter { it.isNotEmpty() }.joinToString("\n\n")
    }

    fun requestExplanation(body: String): String =
        prettyJson.encodeToString(JsonElement.serializer(), ReportJson.read(JsonElement.serializer(), body))

    private fun section(
        title: String,
        decisions: List<Decision>,
    ): String = if (decisions.isEmpty()) "" else "$title:\n" + decisions(decisions)

    private fun decisions(decisions: List<Decision>): String =
        TextTable.format(
            listOf("OFFSET", "TIME", "PLAN", "OPERATOR", "RESULT", "SUMMARY"),
            decisions.map {
                listOf(
                    "${it.offset}",
                    Instant.ofEpochMilli(it.atMs).toString(),
                    "${it.plan.value}",
                    it.confirmedBy.value,
                    result(it),
                    it.summary,
                )
            },
        )

    private fun result(decision: Decision): String {
        val reason = decision.rejection ?: return "accepted"
        val winner = decision.winner?.let { ", change ${it.value} came first" } ?: ""
        return "rejected: ${reason.name.lowercase()}$winner"
    }
}
