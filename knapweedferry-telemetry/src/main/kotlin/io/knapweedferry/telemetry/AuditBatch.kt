package io.knapweedferry.telemetry

import io.knapweedferry.api.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One record of the stream `audit`. */
@Serializable
internal data class AuditBatch(
    /** The same in every append of the batch, so that a reader drops the copies that a lost response leaves behind. */
    @SerialName("b")
    val id: String,
    @SerialName("p")
    val process: ProcessId,
    /** What was dropped since the last batch that got through. */
    @SerialName("l")
    val loss: AuditLoss? = null,
    @SerialName("a")
    val records: List<AuditRecord>,
)
