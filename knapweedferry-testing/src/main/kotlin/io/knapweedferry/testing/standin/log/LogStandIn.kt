package io.knapweedferry.testing.standin.log

import io.knapweedferry.platform.log.AppendReply
import io.knapweedferry.platform.log.AppendRequest
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.http.DroppedConnectionException
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.settings.LogSettings
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random
import kotlin.time.TimeSource

/** In-memory append-only log with rate limit, retention and injectable faults. */
internal class LogStandIn(
    private val settings: LogSettings,
    seed: Long,
    private val nowMs: () -> Long = System::currentTimeMillis,
    timeSource: TimeSource = TimeSource.Monotonic,
) : AdminTarget<LogFaults, LogStatistics> {
    private val streams = ConcurrentHashMap<String, RecordStream>()
    private val rateLimiter = AppendRateLimiter(settings.appendsPerSecond, settings.maxWaitMs, timeSource)
    private val random = Random(seed)
    private val appends = AtomicLong()
    private val refusedAppends = AtomicLong()
    private val lostAnswers = AtomicLong()

    @Volatile
    override var faults = LogFaults()
    override val faultsSerializer = LogFaults.serializer()
    override val statisticsSerializer = LogStatistics.serializer()

    override suspend fun statistics() =
        LogStatistics(appends.get(), refusedAppends.get(), lostAnswers.get(), streams.mapValues { it.value.nextOffset })

    suspend fun append(
        stream: String,
        request: AppendRequest,
    ): AppendReply {
        faults.outage.apply()
        delay(faults.delayMs)
        validate(request)
        acquireAppendSlot()
        delay(settings.appendMs)
        val first = stream(stream).append(request.payloads)
        appends.incrementAndGet()
        maybeDropResponse()
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

    private fun validate(request: AppendRequest) {
        val bytes = request.payloads.sumOf { it.length }
        if (request.payloads.isEmpty()) throw ErrorResponseException(BAD_REQUEST, "empty", "an append needs at least one payload")
        if (bytes >
            settings.maxAppendBytes
        ) {
            throw ErrorResponseException(
                TOO_LARGE,
                "too_large",
                "an append of $bytes bytes exceeds the limit of ${settings.maxAppendBytes}",
            )
        }
    }

    private suspend fun acquireAppendSlot() {
        try {
            rateLimiter.acquire()
        } catch (e: ErrorResponseException) {
            refusedAppends.incrementAndGet()
            throw e
        }
    }

    private fun maybeDropResponse() {
        val draw = synchronized(random) { random.nextDouble() }
        if (draw >= faults.lostAnswerProbability) return
        lostAnswers.incrementAndGet()
        throw DroppedConnectionException()
    }

    private fun stream(name: String) = streams.computeIfAbsent(name) { RecordStream(settings.retentionMs, nowMs) }

    private companion object {
        const val BAD_REQUEST = 400
        const val TOO_LARGE = 413
    }
}
