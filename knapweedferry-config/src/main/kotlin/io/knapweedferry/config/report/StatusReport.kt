package io.knapweedferry.config.report

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Revision
import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Configuration status of an entry. */
@Serializable
public data class StatusReport(
    val process: ProcessId,
    /** False while the entry has no configuration or has to read it again after a process pause. */
    val ready: Boolean,
    val revision: Revision,
    @SerialName("folded_offset")
    val appliedOffset: Long,
    /** The most recent accepted change. */
    @SerialName("last_change")
    val lastChange: Decision? = null,
    val pending: List<PlanId> = emptyList(),
    /** Steps of the most recent change; empty if it has none. */
    val steps: List<StepReport> = emptyList(),
    /** True if a failed step stopped the rollout. */
    val stopped: Boolean = false,
    val models: Int = 0,
    val endpoints: Int = 0,
)
