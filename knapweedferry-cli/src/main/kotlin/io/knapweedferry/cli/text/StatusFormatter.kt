package io.knapweedferry.cli.text

import io.knapweedferry.config.report.EndpointReport
import io.knapweedferry.config.report.EndpointsReport
import io.knapweedferry.config.report.StatusReport
import io.knapweedferry.config.report.StepReport

/** Formats the responses of `status` and `endpoints`. */
internal object StatusFormatter {
    fun status(body: String): String {
        val report = ReportJson.read(StatusReport.serializer(), body)
        val change = report.lastChange
        val lines =
            listOf(
                "entry      ${report.process.value}${if (report.ready) "" else " (not ready)"}",
                "revision   ${report.revision.value}",
                "change     ${if (change == null) "none" else "${change.summary}, confirmed by ${change.confirmedBy.value}"}",
                "models     ${report.models}",
                "endpoints  ${report.endpoints}",
                "pending    ${report.pending.joinToString { it.value.toString() }.ifEmpty { "none" }}",
            )
        val stoppedNote = if (report.stopped) "\nThe rollout stopped at a failed step; propose a change that avoids this step." else ""
        return lines.joinToString("\n") + (if (report.steps.isEmpty()) "" else "\n\n" + steps(report.steps)) + stoppedNote
    }

    /** Formats steps as a table with one status per step. */
    fun steps(steps: List<StepReport>): String =
        TextTable.format(
            listOf("STEP", "BATCH", "ENDPOINT", "ROLE", "MODEL", "VERSION", "STATUS"),
            steps.map {
                val assignment = it.step.assignment
                val status = it.status.name.lowercase() + (it.reason?.let { reason -> ": $reason" } ?: "")
                listOf(
                    "${it.step.number}",
                    "${it.step.batch}",
                    it.step.endpoint.value,
                    assignment.role.name.lowercase(),
                    assignment.model?.value ?: "-",
                    it.step.version,
                    status,
                )
            },
        )

    fun endpoints(body: String): String {
        val report = ReportJson.read(EndpointsReport.serializer(), body)
        val header = listOf("ENDPOINT", "INSTANCE", "ZONE", "LISTED", "ROLE", "SERVES", "VERSION", "NOTE")
        val footer = if (report.listAvailable) "" else "\nThe platform's instance list is unavailable; only assigned endpoints are shown."
        return TextTable.format(header, report.endpoints.map { row(it) }) + footer
    }

    private fun row(report: EndpointReport): List<String> {
        val assignment = report.effective ?: report.assigned
        return listOf(
            report.endpoint.value,
            report.instance?.value ?: "-",
            report.availabilityZone?.value ?: "-",
            report.listed?.name?.lowercase() ?: "-",
            assignment?.role?.name?.lowercase() ?: "-",
            assignment?.model?.value ?: assignment?.service?.value ?: "-",
            report.version ?: "-",
            note(report),
        )
    }

    private fun note(report: EndpointReport): String {
        val step = report.step?.takeIf { report.effective?.copy(draining = false) != report.assigned?.copy(draining = false) }
        return when {
            report.assigned == null -> "not assigned"
            step != null -> "becomes ${step.step.assignment.role.name.lowercase()} ${step.step.version}: ${step.status.name.lowercase()}"
            report.effective?.draining == true -> "draining"
            else -> ""
        }
    }
}
