package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.StreamName
import io.knapweedferry.config.report.ChangeExplanation
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus
import io.knapweedferry.config.report.StepReport
import io.knapweedferry.config.stream.ConfigRecord
import io.knapweedferry.config.stream.ConfigReplayer
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.config.stream.Decision
import io.knapweedferry.config.stream.RecordCodec
import io.knapweedferry.config.stream.Rollout
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord

/**
 * Explains a plan from the log. Replays the records from the plan's base revision on, where no other plan can be pending, and
 * so reproduces the decisions that all processes have derived from the log.
 */
internal class ChangeExplainer(
    private val log: AppendLog,
    private val stream: StreamName,
) {
    /** Collects the decisions about one plan during the replay. */
    private class PlanHistory(
        val plan: PlanId,
    ) {
        val confirmations = mutableListOf<Decision>()
        val rejected = mutableListOf<Decision>()
        var rollout: Rollout? = null
        var firstAccepted: Decision? = null

        val acceptance: Decision? get() = confirmations.firstOrNull { it.accepted }

        fun add(
            decision: Decision?,
            rollout: Rollout?,
        ) {
            if (rollout?.plan == plan) this.rollout = rollout
            if (decision == null) return
            if (decision.accepted && firstAccepted == null) firstAccepted = decision
            if (decision.plan == plan) confirmations += decision
            if (decision.plan != plan && acceptance != null && decision.winner == acceptance?.revision) rejected += decision
        }
    }

    /** Explains the plan with this [id], or the plan that the confirmation with this [id] belongs to. */
    suspend fun explain(id: Long): Either<OperatorProblem, ChangeExplanation> =
        either {
            val record = recordAt(id).bind()
            val planId = if (record is ConfigRecord.PlanConfirmed) record.plan.value else id
            val proposal = (if (planId == id) record else recordAt(planId).bind()) as? ConfigRecord.PlanProposed
            if (proposal == null) raise(Problems.unknownPlan(planId))
            explainByReplay(PlanId(planId), proposal).bind()
        }

    private suspend fun explainByReplay(
        id: PlanId,
        proposal: ConfigRecord.PlanProposed,
    ): Either<OperatorProblem, ChangeExplanation> =
        either {
            val base = proposal.plan.base
            val planHistory = PlanHistory(id)
            var state = ConfigStreamState(revision = base, appliedOffset = base.value)
            var recordsRead = 0
            var complete = true
            var nextOffset: Long? = base.value + 1
            while (nextOffset != null && recordsRead < MAX_RECORDS) {
                val page = read(nextOffset, PAGE_RECORDS).bind()
                // If the first records were deleted, plans proposed in them would be treated as unknown.
                if (page.firstOffset > nextOffset) complete = false
                for (record in page.records) {
                    state = ConfigReplayer.apply(state, record).state
                    planHistory.add(state.history.lastOrNull()?.takeIf { it.offset == record.offset }, state.rollout)
                }
                recordsRead += page.records.size
                nextOffset = page.records.lastOrNull()?.let { it.offset + 1 }
            }
            explanation(id, proposal, planHistory, state, complete && nextOffset == null)
        }

    private fun explanation(
        id: PlanId,
        proposal: ConfigRecord.PlanProposed,
        planHistory: PlanHistory,
        state: ConfigStreamState,
        complete: Boolean,
    ): ChangeExplanation {
        val status =
            when {
                planHistory.acceptance != null -> PlanStatus.ACCEPTED
                state.pending.any { it.id == id } -> PlanStatus.PENDING
                else -> PlanStatus.SUPERSEDED
            }
        val decision = planHistory.acceptance ?: planHistory.firstAccepted
        val report = PlanReport(id, status, proposal.operator, proposal.atMs, proposal.plan, decision)
        val steps = planHistory.rollout?.let { StepReport.of(it) } ?: emptyList()
        return ChangeExplanation(report, planHistory.confirmations, planHistory.rejected, steps, complete)
    }

    private suspend fun recordAt(offset: Long): Either<OperatorProblem, ConfigRecord> {
        val page = read(offset, 1).fold({ return it.left() }, { it })
        if (offset < page.firstOffset) return Problems.recordGone(offset).left()
        val record: LogRecord? = page.records.firstOrNull { it.offset == offset }
        return record?.let { RecordCodec.decode(it.payload).getOrNull() }?.right() ?: Problems.unknownPlan(offset).left()
    }

    private suspend fun read(
        offset: Long,
        maxRecords: Int,
    ): Either<OperatorProblem, LogPage> = log.read(stream, offset, maxRecords).mapLeft { Problems.logUnavailable(it) }

    private companion object {
        const val PAGE_RECORDS = 64

        /** About one day of changes in the largest fleet. */
        const val MAX_RECORDS = 4_000
    }
}
