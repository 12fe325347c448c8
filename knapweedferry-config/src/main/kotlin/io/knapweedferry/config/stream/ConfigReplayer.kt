package io.knapweedferry.config.stream

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.platform.log.LogRecord

/**
 * Applies the records of the `config` stream to a [ConfigStreamState]. The result depends only on the state and the record, so all
 * processes derive the same state from the same records. Unknown and malformed records are skipped and only advance the
 * offset.
 */
public object ConfigReplayer {
    /** Must be increased by every change after which the same records lead to a different state. */
    public const val VERSION: Int = 1

    /** Maximum number of pending plans. Newer proposals evict the oldest plan, which then has to be proposed again. */
    public const val MAX_PENDING_PLANS: Int = 8

    /** Maximum number of decisions kept, so that operators can see why their confirmation was rejected. */
    public const val MAX_DECISIONS: Int = 64

    /** Applies [record] to [state]; records that [state] already includes have no effect. */
    public fun apply(
        state: ConfigStreamState,
        record: LogRecord,
    ): ApplyResult {
        if (record.offset <= state.appliedOffset) return ApplyResult(state)
        val advanced = state.copy(appliedOffset = record.offset)
        return RecordCodec.decode(record.payload).fold(
            ifLeft = { ApplyResult(advanced, skipReason = it) },
            ifRight = { apply(advanced, record.offset, it).copy(record = it) },
        )
    }

    private fun apply(
        state: ConfigStreamState,
        offset: Long,
        record: ConfigRecord,
    ): ApplyResult =
        when (record) {
            is ConfigRecord.PlanProposed -> propose(state, offset, record)
            is ConfigRecord.PlanConfirmed -> ApplyResult(confirm(state, offset, record))
            is ConfigRecord.StepApplied -> ApplyResult(applyStepReport(state, record.plan, record.step, null))
            is ConfigRecord.StepFailed -> ApplyResult(applyStepReport(state, record.plan, record.step, record.reason))
            is ConfigRecord.Snapshot -> ApplyResult(state)
        }

    private fun propose(
        state: ConfigStreamState,
        offset: Long,
        record: ConfigRecord.PlanProposed,
    ): ApplyResult {
        val steps = record.plan.steps
        val ordered =
            steps.withIndex().all { (index, step) -> step.number == index } &&
                steps.zipWithNext().all { (step, next) -> step.batch <= next.batch }
        if (!ordered) return ApplyResult(state, skipReason = "plan with steps out of order")
        // A plan based on another revision can never be accepted, so it is not kept.
        if (record.plan.base != state.revision) return ApplyResult(state)
        val plan = PendingPlan(PlanId(offset), record.recordId, record.operator, record.atMs, record.plan)
        return ApplyResult(state.copy(pending = (state.pending + plan).takeLast(MAX_PENDING_PLANS)))
    }

    private fun confirm(
        state: ConfigStreamState,
        offset: Long,
        record: ConfigRecord.PlanConfirmed,
    ): ConfigStreamState {
        val pending = state.pending.firstOrNull { it.id == record.plan } ?: return reject(state, offset, record)
        val decision =
            Decision(
                offset = offset,
                recordId = record.recordId,
                plan = record.plan,
                confirmedBy = record.operator,
                proposedBy = pending.operator,
                atMs = record.atMs,
                summary = pending.plan.summary,
            )
        val revision = Revision(offset)
        val endpoints = pending.plan.steps.map { it.endpoint }
        val previous = endpoints.mapNotNull { endpoint -> state.loadedAssignment(endpoint)?.let { endpoint to it } }.toMap()
        return state.copy(
            revision = revision,
            accepted = pending.plan.newState(state.accepted),
            pending = emptyList(),
            history = appendToHistory(state, decision),
            rollout = Rollout(record.plan, revision, pending.plan.steps, previous = previous),
        )
    }

    private fun reject(
        state: ConfigStreamState,
        offset: Long,
        record: ConfigRecord.PlanConfirmed,
    ): ConfigStreamState {
        val accepted = state.history.filter { it.accepted }
        val earlierAcceptance = accepted.firstOrNull { it.plan == record.plan }
        val winner = earlierAcceptance ?: accepted.firstOrNull { it.offset > record.base.value }
        val reason =
            when {
                earlierAcceptance != null -> RejectionReason.ALREADY_ACCEPTED
                record.base < state.revision -> RejectionReason.STALE_BASE
                else -> RejectionReason.UNKNOWN_PLAN
            }
        val decision =
            Decision(
                offset = offset,
                recordId = record.recordId,
                plan = record.plan,
                confirmedBy = record.operator,
                atMs = record.atMs,
                rejection = reason,
                winner = if (reason == RejectionReason.UNKNOWN_PLAN) null else Revision(winner?.offset ?: state.revision.value),
            )
        return state.copy(history = appendToHistory(state, decision))
    }

    private fun appendToHistory(
        state: ConfigStreamState,
        decision: Decision,
    ): List<Decision> = (state.history + decision).takeLast(MAX_DECISIONS)

    private fun applyStepReport(
        state: ConfigStreamState,
        plan: PlanId,
        step: Int,
        failure: String?,
    ): ConfigStreamState {
        val rollout = state.rollout?.takeIf { it.plan == plan } ?: return state
        if (step !in rollout.steps.indices || step in rollout.applied) return state
        val changed =
            if (failure == null) {
                rollout.copy(applied = rollout.applied + step, failed = rollout.failed - step)
            } else {
                rollout.copy(failed = rollout.failed + (step to failure))
            }
        return state.copy(rollout = changed)
    }
}
