package io.knapweedferry.config.stream

import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.intent.Plan
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Record of the `config` stream. Timestamps come from the writer's clock and are informational; no decision depends on them. */
@Serializable
public sealed interface ConfigRecord {
    /** Unique id assigned by the writer. */
    public val recordId: RecordId

    /** Proposes a plan for confirmation. The offset of this record is the plan id. */
    @Serializable
    @SerialName("plan_proposed")
    public data class PlanProposed(
        override val recordId: RecordId,
        val operator: OperatorName,
        val atMs: Long,
        val plan: Plan,
    ) : ConfigRecord

    /** Confirms a plan. If the confirmation is accepted, the offset of this record is the new revision. */
    @Serializable
    @SerialName("plan_confirmed")
    public data class PlanConfirmed(
        override val recordId: RecordId,
        val operator: OperatorName,
        val atMs: Long,
        val plan: PlanId,
        /** Base revision of the plan, repeated so that a rejection can name the winning change after the plan was evicted. */
        val base: Revision,
    ) : ConfigRecord

    /** Reports that a sidecar completed a step. */
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

    /** Reports that a step failed, which stops the rollout of the plan. */
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

    /** State after all records up to [ConfigStreamState.appliedOffset], from which a process can start its replay. */
    @Serializable
    @SerialName("snapshot")
    public data class Snapshot(
        override val recordId: RecordId,
        val process: ProcessId,
        val atMs: Long,
        /** [ConfigReplayer.VERSION] of the writer; processes ignore snapshots of other versions. */
        @SerialName("foldVersion")
        val replayerVersion: Int,
        @SerialName("fold")
        val state: ConfigStreamState,
    ) : ConfigRecord
}
