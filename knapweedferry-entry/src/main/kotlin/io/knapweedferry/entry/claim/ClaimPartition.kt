package io.knapweedferry.entry.claim

import arrow.core.getOrElse
import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.policy.claim.ClaimAnswer
import io.knapweedferry.policy.claim.ClaimIndex
import io.knapweedferry.policy.claim.ClaimKey
import io.knapweedferry.policy.claim.ClaimRecord
import io.knapweedferry.policy.claim.ClaimStanding
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Follows one claim stream and keeps the index of its claims. */
internal class ClaimPartition(
    val stream: StreamName,
    private val log: AppendLog,
    private val random: Random = Random.Default,
) {
    private val lock = Any()
    private val index = ClaimIndex(HORIZON_MS, MAX_CLOCK_SKEW_MS)

    /** Grows whenever the index may answer differently. */
    private val version = MutableStateFlow(0L)

    /** True once the stream was read up to its end; before that an absent claim means nothing. */
    @Volatile
    private var caughtUp = false

    /** Follows the stream until it is cancelled. */
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

    fun answer(key: ClaimKey): ClaimAnswer = synchronized(lock) { index.answer(key) }

    /** Waits until the stream was read to its end once. */
    suspend fun awaitCaughtUp() {
        if (caughtUp) return
        version.first { caughtUp }
    }

    /** Waits until the index has seen the claim, and says what became of it. */
    suspend fun awaitStanding(
        key: ClaimKey,
        id: ClaimId,
        wanted: (ClaimStanding) -> Boolean = { it != ClaimStanding.NOT_SEEN },
    ): ClaimStanding {
        var standing = ClaimStanding.NOT_SEEN
        version.first {
            standing = synchronized(lock) { index.standing(key, id) }
            wanted(standing)
        }
        return standing
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
        /** Keys older than this are refused, so no index keeps more than a day of claims. */
        const val HORIZON_MS = 86_400_000L

        /** Bound on the difference between the clocks of callers and of the log. */
        const val MAX_CLOCK_SKEW_MS = 5_000L
        const val POLL_WAIT_MS = 10_000L
        const val MIN_BACKOFF_MS = 50L
        const val MAX_BACKOFF_MS = 2_000L
        val json = Json { ignoreUnknownKeys = true }

        fun encode(record: ClaimRecord): String = json.encodeToString(ClaimRecord.serializer(), record)

        /** True if the append certainly had no effect. */
        fun hadNoEffect(error: PlatformError): Boolean = error is PlatformError.NotSent || error is PlatformError.Rejected
    }
}
