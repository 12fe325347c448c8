package io.knapweedferry.config.stream

/** Result of folding one record. */
public data class FoldResult(
    val state: FoldState,
    /** The record, if it could be read. */
    val record: ConfigRecord? = null,
    /** Why the record had no effect because it could not be understood; null for records that were. */
    val skipped: String? = null,
)
