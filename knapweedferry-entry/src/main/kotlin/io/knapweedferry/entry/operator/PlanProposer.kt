package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.raise.ensureNotNull
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.intent.ModelVersion
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.intent.Planner
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus
import io.knapweedferry.config.stream.AppendResult
import io.knapweedferry.config.stream.ConfigRecord
import io.knapweedferry.config.stream.ConfigStreamState
import io.knapweedferry.config.stream.RecordId
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.weight.WeightInfo
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Turns an intent into a plan and appends the plan to the log, so that any entry can confirm it. */
internal class PlanProposer(
    private val context: OperatorContext,
) {
    suspend fun plan(
        intent: Intent,
        operator: OperatorName,
        deadline: Deadline,
    ): Either<OperatorProblem, PlanReport> =
        either {
            val state = ensureNotNull(context.follower.currentState()) { Problems.notReady() }
            val draft = Planner.plan(intent, state, listedKinds(deadline)).mapLeft { Problems.invalidIntent(it) }.bind()
            val plan = Planner.withCost(draft, state, weights(draft, state, deadline))
            propose(plan, operator, state, deadline).bind()
        }

    private suspend fun propose(
        plan: Plan,
        operator: OperatorName,
        state: ConfigStreamState,
        deadline: Deadline,
    ): Either<OperatorProblem, PlanReport> {
        val record = ConfigRecord.PlanProposed(RecordId.random(), operator, context.clock.millis(), plan)
        val offset =
            when (val result = context.appender.append(record, state.appliedOffset + 1, deadline.remainingMs)) {
                is AppendResult.Appended -> result.offset
                is AppendResult.NotAppended -> return Problems.logUnavailable(result.error).left()
                is AppendResult.Uncertain -> return Problems.outcomeUnknown(RETRY_ADVICE).left()
            }
        val applied = withTimeoutOrNull(deadline.remainingMs) { context.follower.awaitApplied(offset) }
        // Null if this entry has not read the record back in time; the record is in the log nevertheless.
        if (applied != null && applied.pending.none { it.id.value == offset }) {
            return Problems.lostRace(offset, applied.history.firstOrNull { it.accepted && it.offset > plan.base.value }).left()
        }
        return PlanReport(PlanId(offset), PlanStatus.PENDING, operator, record.atMs, plan).right()
    }

    /** Kinds of the listed endpoints, or null if the platform does not answer within a fraction of the remaining time. */
    private suspend fun listedKinds(deadline: Deadline): Map<EndpointId, EndpointKind>? {
        val instances =
            withTimeoutOrNull(deadline.remainingMs / LOOKUP_TIME_DIVISOR) { context.instances.list() }?.getOrNull() ?: return null
        return instances.flatMap { it.endpoints }.associate { it.endpoint to it.kind }
    }

    private suspend fun weights(
        draft: Plan,
        state: ConfigStreamState,
        deadline: Deadline,
    ): Map<ModelVersion, WeightInfo> =
        coroutineScope {
            val lookups =
                Planner.versionsToLoad(draft, state).map { wanted ->
                    async {
                        val info =
                            withTimeoutOrNull(
                                deadline.remainingMs / LOOKUP_TIME_DIVISOR,
                            ) { context.weights.describe(wanted.model, wanted.version) }
                        info?.getOrNull()?.let { wanted to it }
                    }
                }
            lookups.awaitAll().filterNotNull().toMap()
        }

    private companion object {
        const val RETRY_ADVICE = "send the intent again; proposing a plan twice has no effect"

        /** Each lookup may take this fraction of the remaining time, which leaves most of it for the log. */
        const val LOOKUP_TIME_DIVISOR = 5
    }
}
