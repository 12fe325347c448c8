package io.knapweedferry.cli.text

import io.knapweedferry.config.intent.Change
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus

/** Formats plans for the terminal. */
internal object PlanFormatter {
    private const val BYTES_PER_GB = 1_000_000_000.0

    /** Formats the response to an intent, followed by the command that confirms the plan. */
    fun proposal(body: String): String {
        val report = ReportJson.read(PlanReport.serializer(), body)
        return format(report) + "\n\nNothing has changed yet. To apply the plan: knapweedferry confirm ${report.id.value}"
    }

    fun plan(body: String): String = format(ReportJson.read(PlanReport.serializer(), body))

    /** Formats a plan and its status. */
    fun format(report: PlanReport): String {
        val plan = report.plan
        val origin = "proposed by ${report.proposedBy.value}, base ${plan.base.value}"
        val summary = "plan ${report.id.value}: ${plan.summary}, $origin, ${status(report)}"
        val parts = listOf(summary, changes(plan), steps(plan), cost(plan), warnings(plan))
        return parts.filter { it.isNotEmpty() }.joinToString("\n\n")
    }

    private fun status(report: PlanReport): String {
        val decision = report.decision
        return when (report.status) {
            PlanStatus.PENDING -> "pending"
            PlanStatus.ACCEPTED -> "accepted as revision ${decision?.offset}"
            PlanStatus.SUPERSEDED -> if (decision == null) "superseded" else "superseded by change ${decision.offset} (${decision.summary})"
        }
    }

    private fun changes(plan: Plan): String = "Changes:\n" + TextTable.format(listOf("WHAT", "FROM", "TO"), plan.changes.map { row(it) })

    private fun row(change: Change): List<String> =
        when (change) {
            is Change.Model -> row("model ${change.model.value}", change.before, change.after)
            is Change.Service -> row("service ${change.service.value}", change.before, change.after)
            is Change.Work -> row("work ${change.work.value}", change.before, change.after)
            is Change.RankTarget -> row("rank ${change.rank.name.lowercase()}", change.before, change.after)
            is Change.Organisation -> row("organisation ${change.organisation.value}", change.before, change.after)
            is Change.Endpoint -> row("endpoint ${change.endpoint.value}", change.before, change.after)
        }

    private fun row(
        subject: String,
        before: Any?,
        after: Any?,
    ) = listOf(subject, compact(before), compact(after))

    /** Formats [value] as `name=value` pairs; class names, null properties and `draining=false` are left out. */
    private fun compact(value: Any?): String {
        if (value == null) return "-"
        val unwrapped = Regex("""\w+\(value=([^()]*)\)""").replace(value.toString(), "$1")
        return unwrapped
            .substringAfter('(')
            .removeSuffix(")")
            .split(", ")
            .filterNot {
                it.endsWith("=null") || it == "draining=false"
            }.joinToString(" ")
    }

    private fun steps(plan: Plan): String {
        if (plan.steps.isEmpty()) return ""
        val header = listOf("STEP", "BATCH", "ENDPOINT", "ROLE", "MODEL", "VERSION")
        val rows =
            plan.steps.map {
                val assignment = it.assignment
                listOf(
                    "${it.number}",
                    "${it.batch}",
                    it.endpoint.value,
                    assignment.role.name.lowercase(),
                    assignment.model?.value ?: "-",
                    it.version,
                )
            }
        return "Steps:\n" + TextTable.format(header, rows)
    }

    private fun cost(plan: Plan): String {
        if (plan.cost.loadBytes == 0L) return ""
        return "Cost: loads %.1f GB in about %d s".format(plan.cost.loadBytes / BYTES_PER_GB, plan.cost.loadSeconds)
    }

    private fun warnings(plan: Plan): String {
        if (plan.warnings.isEmpty()) return ""
        return "Warnings:\n" + plan.warnings.joinToString("\n") { "  ${it.code.name.lowercase()}: ${it.message}" }
    }
}
