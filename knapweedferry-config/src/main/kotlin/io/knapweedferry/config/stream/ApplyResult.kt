package io.knapweedferry.config.stream

/** Result of applying one record. */
public data class ApplyResult(
    val state: ConfigStreamState,
    /** Decoded record, or null if it is malformed or was applied before. */
    val record: ConfigRecord? = null,
    /** Why the record was skipped as unknown or malformed; null for valid records. */
    val skipReason: String? = null,
)
