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
 * Keeps the configuration of one process up to date. It long-polls the log, asks a peer while the log does not answer,
 * appends snapshots before retention would remove the last one, and never goes back to a lower revision.
 */
public class ConfigFollower(
    private val log: AppendLog,
    private val peers: PeerConfig,
    private val settings: FollowerSettings,
    private val timeSource: TimeSource = TimeSource.Monotonic,
    private val clock: Clock = Clock.systemUTC(),
    private val random: Random = Random.Default,
    private val listener: (FollowerEvent) -> Unit = {},
) : ConfigSource {
    private class Published(
        val fold: FoldState,
        val snapshot: ConfigSnapshot,
    )

    private val joinPoint = JoinPoint(log, settings)
    private val schedule = SnapshotSchedule(settings)
    private val folds = MutableStateFlow<FoldState?>(null)
    private val wakes = Channel<Unit>(Channel.CONFLATED)
    private val freezeWatch = FreezeWatch(settings.tickMs, settings.frozenAfterMs, timeSource)

    @Volatile private var published: Published? = null

    @Volatile private var hinted = Revision.NONE
    private var snapshotDueAt: TimeMark? = null

    /** Newest fold, for the operator interface and for sidecars that carry out steps. Null until the process has joined. */
    public val states: StateFlow<FoldState?> = folds.asStateFlow()

    /** Newest configuration, or null while there is none or while the process has to read again after it was frozen. */
    override fun current(): ConfigSnapshot? = published?.snapshot?.takeIf { freezeWatch.isFresh }

    /** Newest fold under the same condition as [current]. */
    public fun currentFold(): FoldState? = published?.fold?.takeIf { freezeWatch.isFresh }

    /** Answers a peer that asks for a configuration newer than [newerThan]. */
    public fun offer(newerThan: Revision): ConfigOffer {
        val fold = currentFold() ?: return ConfigOffer(Revision.NONE, -1, null)
        val state = if (fold.revision > newerThan) RecordCodec.encodeFold(fold) else null
        return ConfigOffer(fold.revision, fold.foldedOffset, state)
    }

    /** Tells that a peer has [revision]; the log is read at once if that is newer. */
    public fun hint(revision: Revision) {
        val known = published?.fold?.revision ?: Revision.NONE
        if (revision <= known || revision <= hinted) return
        hinted = revision
        wakes.trySend(Unit)
    }

    /** Waits until the record at [offset], which is in the log, is folded. */
    public suspend fun awaitFolded(offset: Long): FoldState {
        // The follower may be between two attempts after an outage.
        wakes.trySend(Unit)
        return folds.filterNotNull().first { it.foldedOffset >= offset }
    }

    /** Follows the log until it is cancelled. */
    public suspend fun run(): Unit =
        coroutineScope {
            launch {
                freezeWatch.run { gapMs ->
                    listener(FollowerEvent.Frozen(gapMs))
                    wakes.trySend(Unit)
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
                withTimeoutOrNull(random.nextLong(backoffMs / 2, backoffMs + 1)) { wakes.receive() }
                backoffMs = (backoffMs * 2).coerceAtMost(settings.maxBackoffMs)
            }
        }

    /** Reads one page and folds it; false if the log did not help. */
    private suspend fun readOnce(): Boolean {
        val freezesSeen = freezeWatch.count
        val fold = folds.value ?: return join(freezesSeen)
        val urgent = !freezeWatch.isFresh || hinted > fold.revision
        val result = readPage(fold.foldedOffset + 1, if (urgent) 0 else settings.pollWaitMs) ?: return true
        return result.fold(
            ifLeft = { failed(it) },
            ifRight = { page -> accept(page, fold, freezesSeen) },
        )
    }

    /** Returns null if the read was cut short because there is a reason to read again at once. */
    private suspend fun readPage(
        fromOffset: Long,
        waitMs: Long,
    ): Either<PlatformError, LogPage>? =
        coroutineScope {
            val read =
                async {
                    withTimeoutOrNull(waitMs + settings.timeoutMs) {
                        log.read(settings.stream, fromOffset, settings.pageRecords, waitMs)
                    } ?: PlatformError.NoAnswer("the log did not answer a read in time; check that it is up").left()
                }
            // A read without a wait is not cut short, so that frequent hints cannot keep it from finishing.
            if (waitMs == 0L) return@coroutineScope read.await()
            select<Either<PlatformError, LogPage>?> {
                read.onAwait { it }
                wakes.onReceive {
                    read.cancel()
                    null
                }
            }
        }

    private suspend fun join(freezesSeen: Int): Boolean {
        val found =
            withTimeoutOrNull(settings.timeoutMs * JOIN_TIMEOUT_FACTOR) { joinPoint.find() }
                ?: return failed(PlatformError.NoAnswer("the log did not answer in time; check that it is up"))
        val start = found.fold(ifLeft = { return failed(it) }, ifRight = { it })
        if (start == null) {
            listener(FollowerEvent.CannotJoin)
            return false
        }
        return catchUp(start, freezesSeen)
    }

    /** Folds from [start] to the end of the log before anything is published, so that no old state is acted on. */
    private suspend fun catchUp(
        start: FoldState,
        freezesSeen: Int,
    ): Boolean {
        var fold = start
        var nextOffset = Long.MAX_VALUE
        while (fold.foldedOffset + 1 < nextOffset) {
            val page = readPage(fold.foldedOffset + 1, 0)?.fold(ifLeft = { return failed(it) }, ifRight = { it }) ?: return false
            if (page.firstOffset > fold.foldedOffset + 1) return false
            fold = foldAll(fold, page.records)
            nextOffset = if (page.records.isEmpty()) 0 else page.nextOffset
        }
        if (!publish(fold)) return false
        freezeWatch.answer(freezesSeen)
        return true
    }

    private suspend fun accept(
        page: LogPage,
        fold: FoldState,
        freezesSeen: Int,
    ): Boolean {
        if (page.nextOffset <= fold.foldedOffset) {
            listener(FollowerEvent.LogWentBack(page.nextOffset, fold.foldedOffset))
            return false
        }
        // Records that this process did not read are gone; it needs a snapshot as a new process does.
        if (page.firstOffset > fold.foldedOffset + 1) return join(freezesSeen)
        val next = foldAll(fold, page.records)
        publish(next)
        if (next.foldedOffset + 1 >= page.nextOffset) {
            freezeWatch.answer(freezesSeen)
            hinted = next.revision
            renewSnapshot(page)
        }
        return true
    }

    private fun foldAll(
        start: FoldState,
        records: List<LogRecord>,
    ): FoldState =
        records.fold(start) { fold, record ->
            val result = ConfigFold.fold(fold, record)
            result.skipped?.let { listener(FollowerEvent.RecordSkipped(record.offset, it)) }
            schedule.observe(record, isSnapshot = result.record is ConfigRecord.Snapshot)
            result.state
        }

    /** Puts [fold] in force; false if it is older than what is in force. */
    private fun publish(fold: FoldState): Boolean {
        val before = published?.fold
        if (before != null && (fold.revision < before.revision || fold.foldedOffset < before.foldedOffset)) return false
        published = Published(fold, fold.snapshot())
        folds.value = fold
        if (before == null || fold.revision > before.revision) listener(FollowerEvent.Adopted(fold.revision))
        return true
    }

    private fun failed(error: PlatformError): Boolean {
        listener(FollowerEvent.ReadFailed(error))
        return false
    }

    private suspend fun pullFromPeer() {
        val freezesSeen = freezeWatch.count
        val known = folds.value
        val offer = withTimeoutOrNull(settings.timeoutMs) { peers.pull(known?.revision ?: Revision.NONE) } ?: return
        // All members of a fold have defaults, so a text of another kind decodes to an empty fold without a revision.
        val fold = offer.stateJson?.let { RecordCodec.decodeFold(it) }?.takeIf { it.revision == offer.revision }
        if (fold != null && publish(fold)) listener(FollowerEvent.PulledFromPeer(fold.revision))
        // A peer without a configuration of its own says nothing about how old this one is.
        if (offer.revision > Revision.NONE) freezeWatch.answer(freezesSeen)
    }

    private suspend fun renewSnapshot(page: LogPage) {
        if (!settings.appendsSnapshots) return
        if (!schedule.isDue(page)) {
            snapshotDueAt = null
            return
        }
        // Spread over time, so that one process of hundreds appends and the others see its snapshot before they are due.
        val jitterMs = random.nextLong(schedule.intervalMs() / JITTER_PARTS + 1)
        val due = snapshotDueAt ?: (timeSource.markNow() + jitterMs.milliseconds).also { snapshotDueAt = it }
        if (due.hasNotPassedNow()) return
        snapshotDueAt = null
        appendSnapshot()
    }

    private suspend fun appendSnapshot() {
        val fold = folds.value ?: return
        val record = ConfigRecord.Snapshot(RecordId.random(), settings.process, clock.millis(), ConfigFold.VERSION, fold)
        val appended = withTimeoutOrNull(settings.timeoutMs) { log.append(settings.stream, listOf(RecordCodec.encode(record))) } ?: return
        appended.fold(ifLeft = { failed(it) }, ifRight = { listener(FollowerEvent.SnapshotAppended(it)) })
    }

    private companion object {
        const val JITTER_PARTS = 5

        /** A join reads several pages. */
        const val JOIN_TIMEOUT_FACTOR = 10
    }
}
