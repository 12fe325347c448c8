package io.knapweedferry.telemetry

import io.knapweedferry.api.ProcessId

/** An audit record and where it came from. */
public data class FoundRecord(
    val process: ProcessId,
    /** Offset of the batch in the stream `audit`. */
    val offset: Long,
    val record: AuditRecord,
)
