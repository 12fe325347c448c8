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
import io.knapweedferry.config.stream.FoldState
import io.knapweedferry.config.stream.RecordId
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.weight.WeightInfo
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull

/** Answers an intent with a plan and appends the plan, so that any entry can confirm it. */
internal class PlanMaker(
    private val context: OperatorContext,
) {
    suspend fun plan(
        intent: Intent,
        operator: OperatorName,
        deadline: Deadline,
    ): Either<OperatorProblem, PlanReport> =
        either {
            val fold = ensureNotNull(context.follower.currentFold()) { Problems.notReady() }
            val draft = Planner.plan(intent, fold, listedKinds(deadline)).mapLeft { Problems.intent(it) }.bind()
            val plan = Planner.withCost(draft, fold, weights(draft, fold, deadline))
            propose(plan, operator, fold, deadline).bind()
        }

    private suspend fun propose(
        plan: Plan,
        operator: OperatorName,
        fold: FoldState,
        deadline: Deadline,
    ): Either<OperatorProblem, PlanReport> {
        val record = ConfigRecord.PlanProposed(RecordId.random(), operator, context.clock.millis(), plan)
        val offset =
            when (val result = context.appender.append(record, fold.foldedOffset + 1, deadline.remainingMs)) {
                is AppendResult.Appended -> result.offset
                is AppendResult.NotAppended -> return Problems.logUnavailable(result.error).left()
                is AppendResult.Uncertain -> return Problems.uncertain(REPEAT).left()
            }
        val folded = withTimeoutOrNull(deadline.remainingMs) { context.follower.awaitFolded(offset) }
        // Null if this entry has not read the record in time; it is in the log all the same.
        if (folded != null && folded.pending.none { it.id.value == offset }) {
            return Problems.lostRace(offset, folded.history.firstOrNull { it.accepted && it.offset > plan.base.value }).left()
        }
        return PlanReport(PlanId(offset), PlanStatus.PENDING, operator, record.atMs, plan).right()
    }

    /** Kinds of the listed endpoints, or null if the platform does not answer; a plan does not wait long for it. */
    private suspend fun listedKinds(deadline: Deadline): Map<EndpointId, EndpointKind>? {
        val instances = withTimeoutOrNull(deadline.remainingMs / LOOKUP_PARTS) { context.instances.list() }?.getOrNull() ?: return null
        return instances.flatMap { it.endpoints }.associate { it.endpoint to it.kind }
    }

    private suspend fun weights(
        draft: Plan,
        fold: FoldState,
        deadline: Deadline,
    ): Map<ModelVersion, WeightInfo> =
        coroutineScope {
            val lookups =
                Planner.versionsToLoad(draft, fold).map { wanted ->
                    async {
                        val info =
                            withTimeoutOrNull(
                                deadline.remainingMs / LOOKUP_PARTS,
                            ) { context.weights.describe(wanted.model, wanted.version) }
                        info?.getOrNull()?.let { wanted to it }
                    }
                }
            lookups.awaitAll().filterNotNull().toMap()
        }

    private companion object {
        const val REPEAT = "send the intent again; a plan that is proposed twice changes nothing"

        /** Each look-up gets a part of the time, so that most of it is left for the log. */
        const val LOOKUP_PARTS = 5
    }
}
