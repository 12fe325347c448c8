package io.knapweedferry.telemetry

import arrow.core.Either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.log.LogRecord

/** Accumulates the records and drop reports for one request while the audit stream is scanned. */
internal class AuditStreamScan(
    private val requestId: RequestId,
) {
    private val seenBatches = HashSet<String>()
    private val matches = ArrayList<AuditMatch>()
    private val drops = ArrayList<DroppedRecords>()
    private var scannedBatches = 0
    private var unreadableBatches = 0

    fun add(record: LogRecord) {
        scannedBatches++
        val batch = decode(record.payload)
        if (batch == null) {
            unreadableBatches++
            return
        }
        if (!seenBatches.add(batch.id)) return
        batch.dropped?.let { drops += it }
        batch.records.filter { it.requestId == requestId }.mapTo(matches) { AuditMatch(batch.process, record.offset, it) }
    }

    fun result(reachedOldest: Boolean): AuditSearchResult =
        AuditSearchResult(
            matches = matches.sortedWith(compareBy({ it.record.startedAtMs }, { it.offset })),
            scannedBatches = scannedBatches,
            unreadableBatches = unreadableBatches,
            droppedRecords = drops.sumOf { it.count },
            dropsMayAffectRequest = drops.any { mayAffectRequest(it) },
            reachedOldest = reachedOldest,
        )

    // Other processes may have handled attempts of the same request at about the same time, on clocks that differ slightly.
    private fun mayAffectRequest(dropped: DroppedRecords): Boolean {
        if (matches.isEmpty()) return true
        val fromMs = matches.minOf { it.record.startedAtMs } - OVERLAP_TOLERANCE_MS
        val untilMs = matches.maxOf { it.record.startedAtMs + it.record.elapsedMs } + OVERLAP_TOLERANCE_MS
        return dropped.fromMs <= untilMs && dropped.untilMs >= fromMs
    }

    private fun decode(payload: String): AuditBatch? =
        Either.catchOrThrow<IllegalArgumentException, _> { AuditTrail.json.decodeFromString<AuditBatch>(payload) }.getOrNull()

    private companion object {
        /** Covers retries of the caller through another entry, and is larger than the clock skew between instances. */
        const val OVERLAP_TOLERANCE_MS = 60_000L
    }
}
