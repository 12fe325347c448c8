package io.knapweedferry.entry.claim

import arrow.core.getOrElse
import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.policy.claim.ClaimIndex
import io.knapweedferry.policy.claim.ClaimKey
import io.knapweedferry.policy.claim.ClaimKeyState
import io.knapweedferry.policy.claim.ClaimRecord
import io.knapweedferry.policy.claim.ClaimResolution
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Reads one claim stream and maintains an index of its claims. */
internal class ClaimPartition(
    val stream: StreamName,
    private val log: AppendLog,
    private val random: Random = Random.Default,
) {
    private val lock = Any()
    private val index = ClaimIndex(MAX_KEY_AGE_MS, MAX_CLOCK_SKEW_MS)

    /** Incremented after each update of the index, to wake up waiters. */
    private val version = MutableStateFlow(0L)

    /** True once the stream was read to its end. Before that, a key without a claim in the index may still have one. */
    @Volatile
    private var caughtUp = false

    /** Reads the stream until cancelled; retries failed reads with exponential backoff and jitter. */
    suspend fun run() {
        var backoffMs = MIN_BACKOFF_MS
        while (true) {
            val from = synchronized(lock) { index.nextOffset }
            val page =
                log.read(stream, from, waitMs = if (caughtUp) POLL_WAIT_MS else 0).getOrElse {
                    delay(random.nextLong(backoffMs / 2, backoffMs + 1).milliseconds)
                    backoffMs = minOf(backoffMs * 2, MAX_BACKOFF_MS)
                    null
                } ?: continue
            backoffMs = MIN_BACKOFF_MS
            apply(page)
        }
    }

    fun stateOf(key: ClaimKey): ClaimKeyState = synchronized(lock) { index.state(key) }

    /** Waits until the stream was first read to its end. */
    suspend fun awaitCaughtUp() {
        if (caughtUp) return
        version.first { caughtUp }
    }

    /** Waits until the resolution of the claim satisfies [wanted]; by default, until the claim is indexed. */
    suspend fun awaitResolution(
        key: ClaimKey,
        id: ClaimId,
        wanted: (ClaimResolution) -> Boolean = { it != ClaimResolution.NOT_SEEN },
    ): ClaimResolution {
        var resolution = ClaimResolution.NOT_SEEN
        version.first {
            resolution = synchronized(lock) { index.resolution(key, id) }
            wanted(resolution)
        }
        return resolution
    }

    private fun apply(page: LogPage) {
        synchronized(lock) {
            page.records.forEach { index.apply(it.offset, it.atMs, decode(it.payload)) }
            if (page.records.isEmpty()) index.skipTo(page.firstOffset, page.nowMs)
            caughtUp = caughtUp || index.nextOffset >= page.nextOffset
        }
        version.value++
    }

    private fun decode(payload: String): ClaimRecord? =
        try {
            json.decodeFromString(ClaimRecord.serializer(), payload)
        } catch (_: SerializationException) {
            null
        }

    internal companion object {
        /** Keys older than this are refused, which limits each index to one day of claims. */
        const val MAX_KEY_AGE_MS = 86_400_000L

        /** Maximum difference between the clocks of callers and of the log. */
        const val MAX_CLOCK_SKEW_MS = 5_000L
        const val POLL_WAIT_MS = 10_000L
        const val MIN_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 2_000L
        val json = Json { ignoreUnknownKeys = true }

        fun encode(record: ClaimRecord): String = json.encodeToString(ClaimRecord.serializer(), record)

        /** True if [error] proves that the record was not appended; after other errors it may be in the log. */
        fun certainlyNotAppended(error: PlatformError): Boolean = error is PlatformError.NotSent || error is PlatformError.Rejected
    }
}
