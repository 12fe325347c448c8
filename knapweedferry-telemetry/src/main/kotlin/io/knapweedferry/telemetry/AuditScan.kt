package io.knapweedferry.telemetry

import arrow.core.Either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.log.LogRecord

/** Collects what the batches of one scan say about a request. */
internal class AuditScan(
    private val requestId: RequestId,
) {
    private val seenBatches = HashSet<String>()
    private val found = ArrayList<FoundRecord>()
    private val losses = ArrayList<AuditLoss>()
    private var scanned = 0
    private var unreadable = 0

    fun add(record: LogRecord) {
        scanned++
        val batch = decode(record.payload)
        if (batch == null) {
            unreadable++
            return
        }
        if (!seenBatches.add(batch.id)) return
        batch.loss?.let { losses += it }
        batch.records.filter { it.requestId == requestId }.mapTo(found) { FoundRecord(batch.process, record.offset, it) }
    }

    fun findings(reachedOldest: Boolean): AuditFindings =
        AuditFindings(
            records = found.sortedWith(compareBy({ it.record.startedAtMs }, { it.offset })),
            scannedBatches = scanned,
            unreadableBatches = unreadable,
            droppedRecords = losses.sumOf { it.records },
            dropsMayMatter = losses.any { mayMatter(it) },
            reachedOldest = reachedOldest,
        )

    // Other processes may have handled attempts of the request around the same time; clocks may differ by the slack.
    private fun mayMatter(loss: AuditLoss): Boolean {
        if (found.isEmpty()) return true
        val fromMs = found.minOf { it.record.startedAtMs } - CLOCK_SLACK_MS
        val untilMs = found.maxOf { it.record.startedAtMs + it.record.elapsedMs } + CLOCK_SLACK_MS
        return loss.fromMs <= untilMs && loss.untilMs >= fromMs
    }

    private fun decode(payload: String): AuditBatch? =
        Either.catchOrThrow<IllegalArgumentException, _> { AuditTrail.json.decodeFromString<AuditBatch>(payload) }.getOrNull()

    private companion object {
        /** Callers retry through another entry within about this time, and clocks of instances agree better than this. */
        const val CLOCK_SLACK_MS = 60_000L
    }
}
