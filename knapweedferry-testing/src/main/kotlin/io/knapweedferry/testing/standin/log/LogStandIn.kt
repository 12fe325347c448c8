package io.knapweedferry.testing.standin.log

import io.knapweedferry.platform.log.AppendReply
import io.knapweedferry.platform.log.AppendRequest
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.testing.standin.http.Admin
import io.knapweedferry.testing.standin.http.LostAnswer
import io.knapweedferry.testing.standin.http.StandInFailure
import io.knapweedferry.testing.standin.settings.LogSettings
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.TimeSource

/** Append-only log in memory. */
internal class LogStandIn(
    private val settings: LogSettings,
    seed: Long,
    private val nowMs: () -> Long = System::currentTimeMillis,
    timeSource: TimeSource = TimeSource.Monotonic,
) : Admin<LogFaults, LogLedger> {
    private val streams = ConcurrentHashMap<String, RecordStream>()
    private val rate = AppendRate(settings.appendsPerSecond, settings.maxWaitMs, timeSource)
    private val random = Random(seed)
    private val appends = AtomicLong()
    private val refused = AtomicLong()
    private val lost = AtomicLong()

    @Volatile
    override var faults = LogFaults()
    override val faultsSerializer = LogFaults.serializer()
    override val ledgerSerializer = LogLedger.serializer()

    override suspend fun ledger() = LogLedger(appends.get(), refused.get(), lost.get(), streams.mapValues { it.value.nextOffset })

    suspend fun append(
        stream: String,
        request: AppendRequest,
    ): AppendReply {
        faults.outage.apply()
        delay(faults.delayMs)
        check(request)
        awaitTurn()
        delay(settings.appendMs)
        val first = stream(stream).append(request.payloads)
        appends.incrementAndGet()
        loseAnswer()
        return AppendReply(first)
    }

    suspend fun read(
        stream: String,
        fromOffset: Long,
        maxRecords: Int,
        waitMs: Long,
    ): LogPage {
        faults.outage.apply()
        delay(faults.delayMs)
        return stream(stream).read(fromOffset, maxRecords, waitMs)
    }

    private fun check(request: AppendRequest) {
        val bytes = request.payloads.sumOf { it.length }
        if (request.payloads.isEmpty()) throw StandInFailure(BAD_REQUEST, "empty", "an append needs a payload")
        if (bytes > settings.maxAppendBytes) throw StandInFailure(TOO_LARGE, "too_large", "append of $bytes bytes")
    }

    private suspend fun awaitTurn() {
        try {
            rate.await()
        } catch (e: StandInFailure) {
            refused.incrementAndGet()
            throw e
        }
    }

    private fun loseAnswer() {
        val draw = synchronized(random) { random.nextDouble() }
        if (draw >= faults.lostAnswerProbability) return
        lost.incrementAndGet()
        throw LostAnswer()
    }

    private fun stream(name: String) = streams.computeIfAbsent(name) { RecordStream(settings.retentionMs, nowMs) }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
    }
}
