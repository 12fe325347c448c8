package io.knapweedferry.telemetry

/** A record as JSON. */
internal class EncodedRecord(
    val json: String,
    val bytes: Int,
    val startedAtMs: Long,
)
