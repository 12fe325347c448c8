package io.knapweedferry.config.stream

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import io.knapweedferry.platform.log.LogRecord

/**
 * Folds the `config` stream. Pure: it looks at nothing but the state and the record, so that every process reaches the
 * same state from the same records. A record that is unknown or malformed is skipped and only moves the offset on.
 */
public object ConfigFold {
    /** Changes whenever the same records would lead to another state. */
    public const val VERSION: Int = 1

    /** Confirmable plans that are kept; a plan displaced by newer proposals has to be made again. */
    public const val MAX_PENDING: Int = 8

    /** Decisions that are kept for operators whose confirmation lost. */
    public const val MAX_HISTORY: Int = 64

    /** Folds [record] into [state]; records at or below the folded offset have no effect. */
    public fun fold(
        state: FoldState,
        record: LogRecord,
    ): FoldResult {
        if (record.offset <= state.foldedOffset) return FoldResult(state)
        val moved = state.copy(foldedOffset = record.offset)
        return RecordCodec.decode(record.payload).fold(
            ifLeft = { FoldResult(moved, skipped = it) },
            ifRight = { apply(moved, record.offset, it).copy(record = it) },
        )
    }

    private fun apply(
        state: FoldState,
        offset: Long,
        record: ConfigRecord,
    ): FoldResult =
        when (record) {
            is ConfigRecord.PlanProposed -> propose(state, offset, record)
            is ConfigRecord.PlanConfirmed -> FoldResult(confirm(state, offset, record))
            is ConfigRecord.StepApplied -> FoldResult(reportStep(state, record.plan, record.step, null))
            is ConfigRecord.StepFailed -> FoldResult(reportStep(state, record.plan, record.step, record.reason))
            is ConfigRecord.Snapshot -> FoldResult(state)
        }

    private fun propose(
        state: FoldState,
        offset: Long,
        record: ConfigRecord.PlanProposed,
    ): FoldResult {
        val steps = record.plan.steps
        val ordered =
            steps.withIndex().all { (index, step) -> step.number == index } && steps.zipWithNext().all { (a, b) -> a.batch <= b.batch }
        if (!ordered) return FoldResult(state, skipped = "plan with steps out of order")
        // A plan for another revision can never be accepted, so keeping it would only cost memory.
        if (record.plan.base != state.revision) return FoldResult(state)
        val plan = PendingPlan(PlanId(offset), record.recordId, record.operator, record.atMs, record.plan)
        return FoldResult(state.copy(pending = (state.pending + plan).takeLast(MAX_PENDING)))
    }

    private fun confirm(
        state: FoldState,
        offset: Long,
        record: ConfigRecord.PlanConfirmed,
    ): FoldState {
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
        val previous = endpoints.mapNotNull { endpoint -> state.serving(endpoint)?.let { endpoint to it } }.toMap()
        return state.copy(
            revision = revision,
            accepted = pending.plan.newState(state.accepted),
            pending = emptyList(),
            history = remember(state, decision),
            rollout = Rollout(record.plan, revision, pending.plan.steps, previous = previous),
        )
    }

    private fun reject(
        state: FoldState,
        offset: Long,
        record: ConfigRecord.PlanConfirmed,
    ): FoldState {
        val accepted = state.history.filter { it.accepted }
        val same = accepted.firstOrNull { it.plan == record.plan }
        val first = same ?: accepted.firstOrNull { it.offset > record.base.value }
        val reason =
            when {
                same != null -> RejectionReason.ALREADY_ACCEPTED
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
                winner = if (reason == RejectionReason.UNKNOWN_PLAN) null else Revision(first?.offset ?: state.revision.value),
            )
        return state.copy(history = remember(state, decision))
    }

    private fun remember(
        state: FoldState,
        decision: Decision,
    ): List<Decision> = (state.history + decision).takeLast(MAX_HISTORY)

    private fun reportStep(
        state: FoldState,
        plan: PlanId,
        step: Int,
        failure: String?,
    ): FoldState {
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
