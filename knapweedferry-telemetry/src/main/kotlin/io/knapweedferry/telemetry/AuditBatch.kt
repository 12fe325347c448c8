package io.knapweedferry.telemetry

import io.knapweedferry.api.ProcessId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Payload of one log record in the `audit` stream. */
@Serializable
internal data class AuditBatch(
    /** Stays the same when an append is retried, so that readers can discard duplicates written after a lost response. */
    @SerialName("b")
    val id: String,
    @SerialName("p")
    val process: ProcessId,
    /** Records dropped since the last batch that was appended successfully. */
    @SerialName("l")
    val dropped: DroppedRecords? = null,
    @SerialName("a")
    val records: List<AuditRecord>,
)
