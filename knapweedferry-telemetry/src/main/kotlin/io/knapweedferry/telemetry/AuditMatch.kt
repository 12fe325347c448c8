package io.knapweedferry.telemetry

import io.knapweedferry.api.ProcessId

/** An audit record with the process that wrote it and its position in the audit stream. */
public data class AuditMatch(
    val process: ProcessId,
    /** Offset of the batch in the `audit` stream. */
    val offset: Long,
    val record: AuditRecord,
)
