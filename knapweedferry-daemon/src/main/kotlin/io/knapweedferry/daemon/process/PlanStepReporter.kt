package io.knapweedferry.daemon.process

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.stream.AppendResult
import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.config.stream.ConfigRecord
import io.knapweedferry.config.stream.RecordAppender
import io.knapweedferry.config.stream.RecordId
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.sidecar.orders.PlanStepState
import io.knapweedferry.sidecar.orders.StepReporter
import java.time.InstantSource

/** Determines whether a rollout step of an endpoint is due, and appends the results of such steps to the log. */
internal class PlanStepReporter(
    private val follower: ConfigFollower,
    private val appender: RecordAppender,
    private val process: ProcessId,
    private val clock: InstantSource = InstantSource.system(),
) : StepReporter {
    private class DueStep(
        val plan: PlanId,
        val number: Int,
        val appliedOffset: Long,
    )

    override fun stepState(
        endpoint: EndpointId,
        revision: Revision,
    ): PlanStepState = if (dueStep(endpoint, revision) == null) PlanStepState.NONE else PlanStepState.DUE

    override suspend fun applied(
        endpoint: EndpointId,
        revision: Revision,
    ): Either<PlatformError, Unit> {
        val step = dueStep(endpoint, revision) ?: return Unit.right()
        return append(step, ConfigRecord.StepApplied(RecordId.random(), process, clock.millis(), step.plan, step.number, endpoint))
    }

    override suspend fun failed(
        endpoint: EndpointId,
        revision: Revision,
        detail: String,
    ): Either<PlatformError, Unit> {
        val step = dueStep(endpoint, revision) ?: return Unit.right()
        return append(step, ConfigRecord.StepFailed(RecordId.random(), process, clock.millis(), step.plan, step.number, endpoint, detail))
    }

    /** Returns the due step of [endpoint], or null if there is none or if [revision] is no longer the current one. */
    private fun dueStep(
        endpoint: EndpointId,
        revision: Revision,
    ): DueStep? {
        val state = follower.currentState() ?: return null
        val target = state.target(endpoint) ?: return null
        val plan = target.plan ?: return null
        val number = target.step ?: return null
        return if (target.revision == revision) DueStep(plan, number, state.appliedOffset) else null
    }

    private suspend fun append(
        step: DueStep,
        record: ConfigRecord,
    ): Either<PlatformError, Unit> =
        when (val result = appender.append(record, step.appliedOffset + 1, APPEND_TIMEOUT_MS)) {
            is AppendResult.Appended -> Unit.right()
            is AppendResult.NotAppended -> result.error.left()
            is AppendResult.Uncertain -> result.error.left()
        }

    private companion object {
        const val APPEND_TIMEOUT_MS = 5_000L
    }
}
