package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.Plan
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A record of the `config` stream. Times are those of the writer and are for people; no decision depends on them. */
@Serializable
public sealed interface ConfigRecord {
    /** Id chosen by the writer. */
    public val recordId: RecordId

    /** A plan that can be confirmed; its offset becomes its plan id. */
    @Serializable
    @SerialName("plan_proposed")
    public data class PlanProposed(
        override val recordId: RecordId,
        val operator: OperatorName,
        val atMs: Long,
        val plan: Plan,
    ) : ConfigRecord

    /** An operator's confirmation of a plan; its offset becomes the revision if it is accepted. */
    @Serializable
    @SerialName("plan_confirmed")
    public data class PlanConfirmed(
        override val recordId: RecordId,
        val operator: OperatorName,
        val atMs: Long,
        val plan: PlanId,
        /** Base of the plan, repeated so that a rejection can name the winner after the plan itself is forgotten. */
        val base: Revision,
    ) : ConfigRecord

    /** A sidecar has carried out a step. */
    @Serializable
    @SerialName("step_applied")
    public data class StepApplied(
        override val recordId: RecordId,
        val process: ProcessId,
        val atMs: Long,
        val plan: PlanId,
        val step: Int,
        val endpoint: EndpointId,
    ) : ConfigRecord

    /** A sidecar could not carry out a step; the plan stops. */
    @Serializable
    @SerialName("step_failed")
    public data class StepFailed(
        override val recordId: RecordId,
        val process: ProcessId,
        val atMs: Long,
        val plan: PlanId,
        val step: Int,
        val endpoint: EndpointId,
        val reason: String,
    ) : ConfigRecord

    /** Result of folding all records up to [FoldState.foldedOffset], from which a process can join. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        override val recordId: RecordId,
        val process: ProcessId,
        val atMs: Long,
        /** Version of the fold that made it; a process joins only from its own. */
        val foldVersion: Int,
        val fold: FoldState,
    ) : ConfigRecord
}
