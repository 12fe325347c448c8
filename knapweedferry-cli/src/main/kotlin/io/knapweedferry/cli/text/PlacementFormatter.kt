package io.knapweedferry.cli.text

import io.knapweedferry.api.placement.EndpointPlacement
import io.knapweedferry.api.placement.PlacementReport

/** Formats the explanation of a placement. */
internal object PlacementFormatter {
    fun explanation(body: String): String {
        val report = ReportJson.read(PlacementReport.serializer(), body)
        return listOf(summary(report), steps(report), endpoints(report)).filter { it.isNotEmpty() }.joinToString("\n\n")
    }

    private fun summary(report: PlacementReport): String {
        val decision = report.decision.name.lowercase()
        val refusal = report.status?.let { " with $it ${report.reason}: ${report.remedy}" } ?: ""
        val choice = report.choice?.let { ", lowest cost at ${it.value}" } ?: ""
        return decision + refusal + choice
    }

    private fun steps(report: PlacementReport): String =
        TextTable.format(
            listOf("STEP", "RESULT", "DETAIL"),
            report.steps.map { listOf(it.step, it.result.name.lowercase(), it.detail) },
        )

    private fun endpoints(report: PlacementReport): String {
        if (report.endpoints.isEmpty()) return ""
        val table =
            TextTable.format(
                listOf("ENDPOINT", "ZONE", "STAGE", "CANDIDATE", "COST_MS", "REQUESTS", "FAILURES", "LATENCY", "COSTS"),
                report.endpoints.map(::row),
            )
        return "$table\n\nTies: ${report.ties}"
    }

    private fun row(endpoint: EndpointPlacement): List<String> =
        listOf(
            endpoint.endpoint.value,
            endpoint.zone.value,
            endpoint.stage ?: "-",
            endpoint.excluded?.let { "no: $it" } ?: if (endpoint.canWin) "yes, can win" else "yes",
            endpoint.costMs?.toString() ?: "-",
            "${endpoint.ownRequests}",
            "${endpoint.failureRate}" + if (endpoint.isAvoided) " (avoided)" else "",
            "${endpoint.latencyRatio}",
            endpoint.costsMs.entries.joinToString(" ") { "${it.key}=${it.value}" },
        )
}
