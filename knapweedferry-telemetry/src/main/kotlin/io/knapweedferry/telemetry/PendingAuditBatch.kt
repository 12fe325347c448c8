package io.knapweedferry.telemetry

/** An encoded batch that is appended until the log accepts or permanently rejects it. */
internal class PendingAuditBatch(
    val payload: String,
    val sizeBytes: Int,
    val recordCount: Int,
    /** Drops to report if the batch is discarded: its own records and the drops that it would have reported. */
    val droppedIfDiscarded: DroppedRecords?,
)
