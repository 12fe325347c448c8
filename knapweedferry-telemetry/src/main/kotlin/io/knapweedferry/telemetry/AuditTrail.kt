package io.knapweedferry.telemetry

import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import kotlinx.coroutines.delay
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import kotlinx.coroutines.withTimeoutOrNull
import kotlinx.serialization.encodeToString
import kotlinx.serialization.json.Json
import java.time.InstantSource
import kotlin.time.TimeSource

/**
 * Writes the decisions made for each request to the `audit` stream of the log. Callers never block: [submit] adds the
 * encoded record to a bounded buffer, and [run] appends batches at a limited byte rate. Records that do not fit are dropped,
 * counted, and reported in the next batch that is appended successfully.
 */
public class AuditTrail(
    private val log: AppendLog,
    private val process: ProcessId,
    private val incarnation: Incarnation,
    private val settings: AuditTrailSettings,
    private val metrics: RouterMetrics,
    private val events: EventLog,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val clock: InstantSource = InstantSource.system(),
) {
    private val buffer = AuditBuffer(settings.bufferBytes)
    private val burstBytes = maxOf(settings.bytesPerSecond * settings.burstSeconds, MIN_BURST_BYTES)
    private val maxRecordBytes = minOf(burstBytes, MAX_BATCH_BYTES) - ENVELOPE_BYTES
    private val bucket = ByteTokenBucket(settings.bytesPerSecond, burstBytes, timeSource)
    private val writerLock = Mutex()
    private var pending: PendingAuditBatch? = null
    private var lastBatchNumber = 0L
    private var appendsFailing = false

    init {
        metrics.registerGauge("audit.waiting.bytes", "Audit records that wait for the log") { buffer.queuedBytes }
    }

    /** Starts the trace of a request; pass it to [submit] once the request has ended. */
    public fun start(requestId: RequestId): RequestTrace = RequestTrace(requestId, clock.millis(), timeSource.markNow())

    /** Queues a finished trace with its [outcome]. Never blocks; the record is dropped and counted if the buffer is full. */
    public fun submit(
        trace: RequestTrace,
        outcome: String,
    ) {
        val record = trace.record(outcome)
        val json = json.encodeToString(record)
        val encoded = EncodedAuditRecord(json, json.encodeToByteArray().size, record.startedAtMs)
        if (encoded.sizeBytes <= maxRecordBytes && buffer.offer(encoded)) return
        metrics.countDroppedAuditRecords(1)
        buffer.addDropped(DroppedRecords(1, record.startedAtMs, clock.millis()))
    }

    /** Appends batches until the coroutine is cancelled, with exponential backoff after a failure. */
    public suspend fun run(): Nothing {
        var waitMs = settings.flushIntervalMs
        while (true) {
            delay(waitMs)
            val failed = writerLock.withLock { appendBatch() } == AppendResult.FAILED
            waitMs = if (failed) minOf(waitMs * 2, maxOf(MAX_RETRY_WAIT_MS, settings.flushIntervalMs)) else settings.flushIntervalMs
        }
    }

    /** Appends buffered records as far as the byte budget allows, for at most [withinMs]. Call it before the process exits. */
    public suspend fun flush(withinMs: Long) {
        withTimeoutOrNull(withinMs) {
            writerLock.withLock {
                while (appendBatch() == AppendResult.WRITTEN) Unit
            }
        }
        if (pending == null && buffer.isEmpty) return events.write(LogEvent.AUDIT_FLUSHED)
        events.write(LogEvent.AUDIT_FLUSH_INCOMPLETE, "bytes" to buffer.queuedBytes + (pending?.sizeBytes ?: 0))
    }

    /** Appends one batch if there are records or drops to report and the byte budget allows it. */
    private suspend fun appendBatch(): AppendResult {
        val batch = pending ?: nextBatch() ?: return AppendResult.NOTHING_TO_WRITE
        pending = batch
        val availableBytes = bucket.availableBytes()
        // With its envelope, a batch may exceed the bucket capacity; it is sent once the bucket is full.
        if (batch.sizeBytes > availableBytes && availableBytes < burstBytes) return AppendResult.NOTHING_TO_WRITE
        bucket.consume(batch.sizeBytes)
        return log.append(STREAM, listOf(batch.payload)).fold({ onAppendFailed(batch, it) }, { onAppended(batch) })
    }

    private fun nextBatch(): PendingAuditBatch? {
        if (buffer.isEmpty) return null
        val maxPayloadBytes = minOf(bucket.availableBytes(), MAX_BATCH_BYTES) - ENVELOPE_BYTES
        if (maxPayloadBytes < 0) return null
        val records = buffer.drain(maxPayloadBytes)
        val dropped = buffer.takeDropped()
        if (records.isEmpty() && dropped == null) return null
        dropped?.let { events.write(LogEvent.AUDIT_DROPPED, "records" to it.count) }
        return encode(records, dropped)
    }

    private fun encode(
        records: List<EncodedAuditRecord>,
        dropped: DroppedRecords?,
    ): PendingAuditBatch {
        lastBatchNumber++
        val envelope = json.encodeToString(AuditBatch("${incarnation.value}-$lastBatchNumber", process, dropped, emptyList()))
        // The records are already encoded, so they are inserted into the empty array at the end of the envelope.
        val payload = records.joinToString(",", envelope.removeSuffix("]}"), "]}") { it.json }
        val ownRecords =
            if (records.isEmpty()) {
                null
            } else {
                DroppedRecords(records.size.toLong(), records.minOf { it.startedAtMs }, clock.millis())
            }
        val droppedIfDiscarded = if (ownRecords != null && dropped != null) ownRecords + dropped else ownRecords ?: dropped
        return PendingAuditBatch(payload, payload.encodeToByteArray().size, records.size, droppedIfDiscarded)
    }

    private fun onAppended(batch: PendingAuditBatch): AppendResult {
        pending = null
        metrics.countAuditBytes(batch.sizeBytes)
        if (appendsFailing) events.write(LogEvent.AUDIT_RECOVERED, "waiting_bytes" to buffer.queuedBytes)
        appendsFailing = false
        return AppendResult.WRITTEN
    }

    private fun onAppendFailed(
        batch: PendingAuditBatch,
        error: PlatformError,
    ): AppendResult {
        metrics.countPlatformError(PlatformSystem.LOG, error)
        if (error is PlatformError.Rejected && error.status in NON_RETRYABLE_STATUSES) return discard(batch, error)
        if (!appendsFailing) events.write(LogEvent.AUDIT_APPENDS_FAILING, "detail" to error.message)
        appendsFailing = true
        return AppendResult.FAILED
    }

    private fun discard(
        batch: PendingAuditBatch,
        error: PlatformError.Rejected,
    ): AppendResult {
        pending = null
        batch.droppedIfDiscarded?.let { buffer.addDropped(it) }
        metrics.countDroppedAuditRecords(batch.recordCount)
        events.write(LogEvent.AUDIT_BATCH_REJECTED, "status" to error.status, "records" to batch.recordCount, "detail" to error.message)
        return AppendResult.FAILED
    }

    private enum class AppendResult {
        WRITTEN,

        /** No records are queued, or the byte budget does not allow an append yet. */
        NOTHING_TO_WRITE,
        FAILED,
    }

    public companion object {
        /** Log stream of the audit batches. */
        public val STREAM: StreamName = StreamName("audit")
        internal val json = Json { ignoreUnknownKeys = true }

        // Reserved for the id, process name and drop report of a batch.
        private const val ENVELOPE_BYTES = 256

        // Larger than any record, so that every record can be sent even at a very low configured rate.
        private const val MIN_BURST_BYTES = 40_000
        private const val MAX_BATCH_BYTES = 64_000
        private const val MAX_RETRY_WAIT_MS = 30_000L

        // Client errors that a retry does not fix; 408 (timeout) and 429 (rate limit) are temporary.
        private val NON_RETRYABLE_STATUSES = (400..499) - setOf(408, 429)
    }
}
