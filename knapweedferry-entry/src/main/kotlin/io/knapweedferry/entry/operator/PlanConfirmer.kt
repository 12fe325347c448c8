package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.report.ConfirmReport
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.stream.AppendResult
import io.knapweedferry.config.stream.ConfigRecord
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.config.stream.Decision
import io.knapweedferry.config.stream.RecordCodec
import io.knapweedferry.config.stream.RecordId
import io.knapweedferry.config.stream.RejectionReason
import kotlinx.coroutines.withTimeoutOrNull

/** Appends a confirmation to the log and reports the decision on it. Of concurrent confirmations exactly one is accepted. */
internal class PlanConfirmer(
    private val context: OperatorContext,
) {
    suspend fun confirm(
        id: Long,
        operator: OperatorName,
        deadline: Deadline,
    ): Either<OperatorProblem, ConfirmReport> =
        either {
            val state = ensureNotNull(context.follower.currentState()) { Problems.notReady() }
            acceptedDecision(state, id)?.let { return@either report(it, alreadyAccepted = true) }
            val pending = state.pending.firstOrNull { it.id.value == id }
            val plan = pending?.plan ?: findInLog(id, deadline).bind()
            val current = if (pending != null) state else awaitPlanApplied(id, deadline).bind()
            val earlierDecision = if (pending != null) null else decisionOn(current, id, plan)
            if (earlierDecision != null) return@either earlierDecision.bind()
            append(id, plan, operator, current, deadline).bind()
        }

    private suspend fun append(
        id: Long,
        plan: Plan,
        operator: OperatorName,
        state: ConfigStreamState,
        deadline: Deadline,
    ): Either<OperatorProblem, ConfirmReport> {
        val record = ConfigRecord.PlanConfirmed(RecordId.random(), operator, context.clock.millis(), PlanId(id), plan.base)
        val offset =
            when (val result = context.appender.append(record, state.appliedOffset + 1, deadline.remainingMs)) {
                is AppendResult.Appended -> result.offset
                is AppendResult.NotAppended -> return Problems.logUnavailable(result.error).left()
                is AppendResult.Uncertain -> return Problems.outcomeUnknown(RETRY_ADVICE).left()
            }
        val applied =
            withTimeoutOrNull(deadline.remainingMs) { context.follower.awaitApplied(offset) }
                ?: return Problems.outcomeUnknown(RETRY_ADVICE).left()
        return outcome(applied, id, plan, record.recordId)
    }

    private fun outcome(
        state: ConfigStreamState,
        id: Long,
        plan: Plan,
        recordId: RecordId,
    ): Either<OperatorProblem, ConfirmReport> {
        val decisions = state.history.filter { it.recordId == recordId }
        decisions.firstOrNull { it.accepted }?.let { return report(it, alreadyAccepted = false).right() }
        if (decisions.any { it.rejection == RejectionReason.UNKNOWN_PLAN }) return Problems.planDisplaced(id).left()
        return decisionOn(state, id, plan) ?: Problems.outcomeUnknown(RETRY_ADVICE).left()
    }

    /** Decision of [state] on a plan that was read from the log, or null if the plan can still be confirmed. */
    private fun decisionOn(
        state: ConfigStreamState,
        id: Long,
        plan: Plan,
    ): Either<OperatorProblem, ConfirmReport>? {
        acceptedDecision(state, id)?.let { return report(it, alreadyAccepted = true).right() }
        if (state.pending.any { it.id.value == id }) return null
        if (state.revision <= plan.base) return Problems.planDisplaced(id).left()
        return Problems.lostRace(id, state.history.firstOrNull { it.accepted && it.offset > plan.base.value }).left()
    }

    private fun acceptedDecision(
        state: ConfigStreamState,
        id: Long,
    ): Decision? = state.history.firstOrNull { it.accepted && it.plan.value == id }

    private suspend fun findInLog(
        id: Long,
        deadline: Deadline,
    ): Either<OperatorProblem, Plan> {
        val page =
            withTimeoutOrNull(deadline.remainingMs) { context.log.read(context.stream, id, 1) }
                ?: return Problems.logUnavailable(null).left()
        return page.fold(
            ifLeft = { Problems.logUnavailable(it).left() },
            ifRight = { found ->
                val record = found.records.firstOrNull { it.offset == id }?.let { RecordCodec.decode(it.payload).getOrNull() }
                (record as? ConfigRecord.PlanProposed)?.plan?.right() ?: Problems.unknownPlan(id).left()
            },
        )
    }

    /** Waits until this entry has processed the record of the plan, which another entry may have appended just before. */
    private suspend fun awaitPlanApplied(
        id: Long,
        deadline: Deadline,
    ): Either<OperatorProblem, ConfigStreamState> =
        withTimeoutOrNull(deadline.remainingMs) { context.follower.awaitApplied(id) }?.right() ?: Problems.logUnavailable(null).left()

    private fun report(
        decision: Decision,
        alreadyAccepted: Boolean,
    ) = ConfirmReport(decision.plan, decision.revision, decision.summary, alreadyAccepted)

    private companion object {
        const val RETRY_ADVICE = "check the history or confirm again; a plan is never applied twice"
    }
}
