package io.knapweedferry.telemetry

/** An [AuditRecord] encoded as JSON. */
internal class EncodedAuditRecord(
    val json: String,
    val sizeBytes: Int,
    val startedAtMs: Long,
)
