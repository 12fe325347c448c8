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
 * Writes the decisions about requests to the log stream `audit`. Callers never wait: [submit] encodes the record into a
 * bounded buffer, and [run] appends batches within a byte budget. What does not fit is dropped, counted, and reported in
 * the next batch that gets through.
 */
public class AuditTrail(
    private val log: AppendLog,
    private val process: ProcessId,
    private val incarnation: Incarnation,
    private val settings: AuditSettings,
    private val metrics: RouterMetrics,
    private val events: EventLog,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val clock: InstantSource = InstantSource.system(),
) {
    private val buffer = AuditBuffer(settings.bufferBytes)
    private val capacityBytes = maxOf(settings.bytesPerSecond * settings.burstSeconds, MIN_BURST_BYTES)
    private val maxRecordBytes = minOf(capacityBytes, MAX_BATCH_BYTES) - ENVELOPE_BYTES
    private val budget = ByteBudget(settings.bytesPerSecond, capacityBytes, timeSource)
    private val writer = Mutex()
    private var pending: PendingBatch? = null
    private var lastBatch = 0L
    private var behind = false

    init {
        metrics.gauge("audit.waiting.bytes", "Audit records that wait for the log") { buffer.waitingBytes }
    }

    /** Starts the trace of a request. */
    public fun start(requestId: RequestId): RequestTrace = RequestTrace(requestId, clock.millis(), timeSource.markNow())

    /** Hands over a finished trace with [outcome] as its end; never blocks and never fails. */
    public fun submit(
        trace: RequestTrace,
        outcome: String,
    ) {
        val record = trace.record(outcome)
        val json = json.encodeToString(record)
        val encoded = EncodedRecord(json, json.encodeToByteArray().size, record.startedAtMs)
        if (encoded.bytes <= maxRecordBytes && buffer.offer(encoded)) return
        metrics.auditDropped(1)
        buffer.lose(AuditLoss(1, record.startedAtMs, clock.millis()))
    }

    /** Appends batches until it is cancelled. */
    public suspend fun run(): Nothing {
        var waitMs = settings.flushIntervalMs
        while (true) {
            delay(waitMs)
            val failed = writer.withLock { writeOnce() } == WriteResult.FAILED
            waitMs = if (failed) minOf(waitMs * 2, maxOf(MAX_RETRY_WAIT_MS, settings.flushIntervalMs)) else settings.flushIntervalMs
        }
    }

    /** Appends what waits and fits the budget, for at most [withinMs]; for use before the process stops. */
    public suspend fun flush(withinMs: Long) {
        withTimeoutOrNull(withinMs) {
            writer.withLock {
                while (writeOnce() == WriteResult.WRITTEN) Unit
            }
        }
        if (pending == null && buffer.isEmpty) return events.write(LogEvent.AUDIT_FLUSHED)
        events.write(LogEvent.AUDIT_LOST_AT_SHUTDOWN, "bytes" to buffer.waitingBytes + (pending?.bytes ?: 0))
    }

    /** Appends one batch if there is anything to say and the budget allows it. */
    private suspend fun writeOnce(): WriteResult {
        val batch = pending ?: nextBatch() ?: return WriteResult.NOTHING_TO_WRITE
        pending = batch
        val available = budget.available()
        // A batch that exceeds the whole budget by its envelope goes out once the budget is full.
        if (batch.bytes > available && available < capacityBytes) return WriteResult.NOTHING_TO_WRITE
        budget.spend(batch.bytes)
        return log.append(STREAM, listOf(batch.payload)).fold({ failed(batch, it) }, { written(batch) })
    }

    private fun nextBatch(): PendingBatch? {
        if (buffer.isEmpty) return null
        val room = minOf(budget.available(), MAX_BATCH_BYTES) - ENVELOPE_BYTES
        if (room < 0) return null
        val records = buffer.take(room)
        val loss = buffer.takeLoss()
        if (records.isEmpty() && loss == null) return null
        loss?.let { events.write(LogEvent.AUDIT_DROPPED, "records" to it.records) }
        return encode(records, loss)
    }

    private fun encode(
        records: List<EncodedRecord>,
        loss: AuditLoss?,
    ): PendingBatch {
        lastBatch++
        val empty = json.encodeToString(AuditBatch("${incarnation.value}-$lastBatch", process, loss, emptyList()))
        // The records are encoded already, so they are placed between the brackets of the empty list.
        val payload = records.joinToString(",", empty.removeSuffix("]}"), "]}") { it.json }
        val own = if (records.isEmpty()) null else AuditLoss(records.size.toLong(), records.minOf { it.startedAtMs }, clock.millis())
        val lossIfDropped = if (own != null && loss != null) own + loss else own ?: loss
        return PendingBatch(payload, payload.encodeToByteArray().size, records.size, lossIfDropped)
    }

    private fun written(batch: PendingBatch): WriteResult {
        pending = null
        metrics.auditWritten(batch.bytes)
        if (behind) events.write(LogEvent.AUDIT_RECOVERED, "waiting_bytes" to buffer.waitingBytes)
        behind = false
        return WriteResult.WRITTEN
    }

    private fun failed(
        batch: PendingBatch,
        error: PlatformError,
    ): WriteResult {
        metrics.platformFailed(PlatformSystem.LOG, error)
        if (error is PlatformError.Rejected && error.status in PERMANENT_STATUS) return giveUp(batch, error)
        if (!behind) events.write(LogEvent.AUDIT_BEHIND, "detail" to error.message)
        behind = true
        return WriteResult.FAILED
    }

    private fun giveUp(
        batch: PendingBatch,
        error: PlatformError.Rejected,
    ): WriteResult {
        pending = null
        batch.lossIfDropped?.let { buffer.lose(it) }
        metrics.auditDropped(batch.recordCount)
        events.write(LogEvent.AUDIT_BATCH_REJECTED, "status" to error.status, "records" to batch.recordCount, "detail" to error.message)
        return WriteResult.FAILED
    }

    private enum class WriteResult {
        WRITTEN,

        /** Nothing waits, or the budget does not allow it yet. */
        NOTHING_TO_WRITE,
        FAILED,
    }

    public companion object {
        /** Stream that the records go to. */
        public val STREAM: StreamName = StreamName("audit")
        internal val json = Json { ignoreUnknownKeys = true }

        // Room for id, process name and loss of a batch.
        private const val ENVELOPE_BYTES = 256

        // One record at its limits fits into the burst even if the rate is set very low.
        private const val MIN_BURST_BYTES = 40_000
        private const val MAX_BATCH_BYTES = 64_000
        private const val MAX_RETRY_WAIT_MS = 30_000L

        // Statuses that say the same request will be refused again; 408 and 429 are the exceptions among 4xx.
        private val PERMANENT_STATUS = (400..499) - setOf(408, 429)
    }
}
