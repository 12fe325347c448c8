package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.log.LogPage
import io.knapweedferry.platform.log.LogRecord
import kotlinx.coroutines.async
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.StateFlow
import kotlinx.coroutines.flow.asStateFlow
import kotlinx.coroutines.flow.filterNotNull
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull
import java.time.Clock
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/**
 * Keeps the configuration of a process up to date by long-polling the `config` stream. While the log is unavailable it
 * fetches the configuration from a peer. It appends a new snapshot before retention removes the latest one, and it never
 * returns to a lower revision.
 */
public class ConfigFollower(
    private val log: AppendLog,
    private val peerClient: PeerConfigClient,
    private val settings: FollowerSettings,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val clock: Clock = Clock.systemUTC(),
    private val random: Random = Random.Default,
    private val listener: (FollowerEvent) -> Unit = {},
) : ConfigSource {
    private class Published(
        val state: ConfigStreamState,
        val snapshot: ConfigSnapshot,
    )

    private val replayStart = ReplayStart(log, settings)
    private val snapshotSchedule = SnapshotSchedule(settings)
    private val mutableState = MutableStateFlow<ConfigStreamState?>(null)
    private val readRequests = Channel<Unit>(Channel.CONFLATED)
    private val pauseDetector = ProcessPauseDetector(settings.pauseCheckIntervalMs, settings.pauseThresholdMs, timeSource)

    @Volatile private var published: Published? = null

    @Volatile private var hintedRevision = Revision.NONE
    private var snapshotDueAt: TimeMark? = null

    /** Latest state, for the operator API and for sidecars that execute plan steps. Null until the initial replay completes. */
    public val states: StateFlow<ConfigStreamState?> = mutableState.asStateFlow()

    /** Latest configuration, or null if there is none yet or if it has to be read again after a process pause. */
    override fun current(): ConfigSnapshot? = published?.snapshot?.takeIf { pauseDetector.isFresh }

    /** Latest state, or null under the same conditions as [current]. */
    public fun currentState(): ConfigStreamState? = published?.state?.takeIf { pauseDetector.isFresh }

    /** Returns the reply to a peer that requests a configuration newer than [newerThan]. */
    public fun offer(newerThan: Revision): ConfigOffer {
        val state = currentState() ?: return ConfigOffer(Revision.NONE, -1, null)
        val stateJson = if (state.revision > newerThan) RecordCodec.encodeState(state) else null
        return ConfigOffer(state.revision, state.appliedOffset, stateJson)
    }

    /** Reports that a peer has [revision]; if it is newer than the local one, the log is read immediately. */
    public fun hint(revision: Revision) {
        val known = published?.state?.revision ?: Revision.NONE
        if (revision <= known || revision <= hintedRevision) return
        hintedRevision = revision
        readRequests.trySend(Unit)
    }

    /** Waits until the record at [offset] is applied; the record must be in the log. */
    public suspend fun awaitApplied(offset: Long): ConfigStreamState {
        // Ends a backoff delay if the last read failed.
        readRequests.trySend(Unit)
        return mutableState.filterNotNull().first { it.appliedOffset >= offset }
    }

    /** Follows the log until cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch {
                pauseDetector.run { gapMs ->
                    listener(FollowerEvent.ProcessPaused(gapMs))
                    readRequests.trySend(Unit)
                }
            }
            follow()
        }

    private suspend fun follow(): Unit =
        coroutineScope {
            var backoffMs = settings.minBackoffMs
            while (isActive) {
                if (readOnce()) {
                    backoffMs = settings.minBackoffMs
                    continue
                }
                pullFromPeer()
                withTimeoutOrNull(random.nextLong(backoffMs / 2, backoffMs + 1)) { readRequests.receive() }
                backoffMs = (backoffMs * 2).coerceAtMost(settings.maxBackoffMs)
            }
        }

    /** Reads and applies one page; returns false if the caller should back off before the next read. */
    private suspend fun readOnce(): Boolean {
        val pauseCountBefore = pauseDetector.pauseCount
        val state = mutableState.value ?: return bootstrap(pauseCountBefore)
        val readWithoutWait = !pauseDetector.isFresh || hintedRevision > state.revision
        val result = readPage(state.appliedOffset + 1, if (readWithoutWait) 0 else settings.pollWaitMs) ?: return true
        return result.fold(
            ifLeft = { reportFailure(it) },
            ifRight = { page -> applyPage(page, state, pauseCountBefore) },
        )
    }

    /** Returns null if the long poll was cancelled because an immediate read was requested. */
    private suspend fun readPage(
        fromOffset: Long,
        waitMs: Long,
    ): Either<PlatformError, LogPage>? =
        coroutineScope {
            val read =
                async {
                    withTimeoutOrNull(waitMs + settings.timeoutMs) {
                        log.read(settings.stream, fromOffset, settings.pageRecords, waitMs)
                    } ?: PlatformError.NoResponse("the log did not respond to a read in time; check that it is up").left()
                }
            // Reads without a long poll are not cancelled; otherwise frequent read requests could starve them.
            if (waitMs == 0L) return@coroutineScope read.await()
            select<Either<PlatformError, LogPage>?> {
                read.onAwait { it }
                readRequests.onReceive {
                    read.cancel()
                    null
                }
            }
        }

    private suspend fun bootstrap(pauseCountBefore: Int): Boolean {
        val found =
            withTimeoutOrNull(settings.timeoutMs * BOOTSTRAP_TIMEOUT_FACTOR) { replayStart.find() }
                ?: return reportFailure(PlatformError.NoResponse("the log did not respond in time; check that it is up"))
        val start = found.fold(ifLeft = { return reportFailure(it) }, ifRight = { it })
        if (start == null) {
            listener(FollowerEvent.ReplayStartMissing)
            return false
        }
        return catchUp(start, pauseCountBefore)
    }

    /** Replays the log from [start] to its end. Publishes only the final state, so that no outdated state is used. */
    private suspend fun catchUp(
        start: ConfigStreamState,
        pauseCountBefore: Int,
    ): Boolean {
        var state = start
        var nextOffset = Long.MAX_VALUE
        while (state.appliedOffset + 1 < nextOffset) {
            val page = readPage(state.appliedOffset + 1, 0)?.fold(ifLeft = { return reportFailure(it) }, ifRight = { it }) ?: return false
            if (page.firstOffset > state.appliedOffset + 1) return false
            state = replay(state, page.records)
            nextOffset = if (page.records.isEmpty()) 0 else page.nextOffset
        }
        if (!publish(state)) return false
        pauseDetector.markRead(pauseCountBefore)
        return true
    }

    private suspend fun applyPage(
        page: LogPage,
        state: ConfigStreamState,
        pauseCountBefore: Int,
    ): Boolean {
        if (page.nextOffset <= state.appliedOffset) {
            listener(FollowerEvent.LogTruncated(page.nextOffset, state.appliedOffset))
            return false
        }
        // Retention removed records that this process has not read, so it has to start again from a snapshot.
        if (page.firstOffset > state.appliedOffset + 1) return bootstrap(pauseCountBefore)
        val next = replay(state, page.records)
        publish(next)
        if (next.appliedOffset + 1 >= page.nextOffset) {
            pauseDetector.markRead(pauseCountBefore)
            hintedRevision = next.revision
            appendSnapshotIfDue(page)
        }
        return true
    }

    private fun replay(
        start: ConfigStreamState,
        records: List<LogRecord>,
    ): ConfigStreamState =
        records.fold(start) { state, record ->
            val result = ConfigReplayer.apply(state, record)
            result.skipReason?.let { listener(FollowerEvent.RecordSkipped(record.offset, it)) }
            snapshotSchedule.recordRead(record, isSnapshot = result.record is ConfigRecord.Snapshot)
            result.state
        }

    /** Makes [state] the current state; returns false if it is older than the current one. */
    private fun publish(state: ConfigStreamState): Boolean {
        val before = published?.state
        if (before != null && (state.revision < before.revision || state.appliedOffset < before.appliedOffset)) return false
        published = Published(state, state.snapshot())
        mutableState.value = state
        if (before == null || state.revision > before.revision) listener(FollowerEvent.RevisionApplied(state.revision))
        return true
    }

    private fun reportFailure(error: PlatformError): Boolean {
        listener(FollowerEvent.LogAccessFailed(error))
        return false
    }

    private suspend fun pullFromPeer() {
        val pauseCountBefore = pauseDetector.pauseCount
        val known = mutableState.value
        val offer = withTimeoutOrNull(settings.timeoutMs) { peerClient.pull(known?.revision ?: Revision.NONE) } ?: return
        // All fields of ConfigStreamState have defaults, so unrelated JSON decodes to an empty state; the revision check detects this.
        val state = offer.stateJson?.let { RecordCodec.decodeState(it) }?.takeIf { it.revision == offer.revision }
        if (state != null && publish(state)) listener(FollowerEvent.PulledFromPeer(state.revision))
        // A peer without a configuration cannot confirm that the local one is up to date.
        if (offer.revision > Revision.NONE) pauseDetector.markRead(pauseCountBefore)
    }

    private suspend fun appendSnapshotIfDue(page: LogPage) {
        if (!settings.appendsSnapshots) return
        if (!snapshotSchedule.isDue(page)) {
            snapshotDueAt = null
            return
        }
        // Random jitter, so that of hundreds of processes one appends and the others see its snapshot before their delay ends.
        val jitterMs = random.nextLong(snapshotSchedule.intervalMs() / JITTER_DIVISOR + 1)
        val dueAt = snapshotDueAt ?: (timeSource.markNow() + jitterMs.milliseconds).also { snapshotDueAt = it }
        if (dueAt.hasNotPassedNow()) return
        snapshotDueAt = null
        appendSnapshot()
    }

    private suspend fun appendSnapshot() {
        val state = mutableState.value ?: return
        val record = ConfigRecord.Snapshot(RecordId.random(), settings.process, clock.millis(), ConfigReplayer.VERSION, state)
        val appended = withTimeoutOrNull(settings.timeoutMs) { log.append(settings.stream, listOf(RecordCodec.encode(record))) } ?: return
        appended.fold(ifLeft = { reportFailure(it) }, ifRight = { listener(FollowerEvent.SnapshotAppended(it)) })
    }

    private companion object {
        /** The jitter is at most this fraction of the snapshot interval. */
        const val JITTER_DIVISOR = 5

        /** Multiple of the read timeout, because finding the replay start reads several pages. */
        const val BOOTSTRAP_TIMEOUT_FACTOR = 10
    }
}
