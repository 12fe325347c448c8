package io.knapweedferry.telemetry

/** A batch that is being appended, and what would be lost with it. */
internal class PendingBatch(
    val payload: String,
    val bytes: Int,
    val recordCount: Int,
    /** Loss to report again if the batch itself is given up: its records and what it would have reported. */
    val lossIfDropped: AuditLoss?,
)
