package io.knapweedferry.config.stream

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.config.intent.Change
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.state.RankPolicy
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.launch
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.currentTime
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random
import kotlin.time.AbstractLongTimeSource
import kotlin.time.DurationUnit

/** Guards against a process that misses a change, returns to an older revision, or uses outdated data after a pause. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class ConfigFollowerSpec {
    private val events = mutableListOf<FollowerEvent>()

    /** Virtual time of the test plus the duration of simulated process pauses. */
    private class PausableTime(
        private val scope: TestScope,
    ) : AbstractLongTimeSource(DurationUnit.MILLISECONDS) {
        var pausedMs = 0L

        override fun read(): Long = scope.currentTime + pausedMs
    }

    private fun MemoryLog.change(base: Long): Long {
        val rank = Change.RankTarget(Rank.URGENT, after = RankPolicy(1, 1, records.size.toLong(), 0))
        val operator = OperatorName("hana")
        val plan = add(ConfigRecord.PlanProposed(RecordId.random(), operator, 0, Plan(Revision(base), "rank", listOf(rank))))
        return add(ConfigRecord.PlanConfirmed(RecordId.random(), operator, 0, PlanId(plan), Revision(base)))
    }

    private fun TestScope.follower(
        log: MemoryLog,
        time: PausableTime = PausableTime(this),
        appends: Boolean = false,
        peerClient: PeerConfigClient = PeerConfigClient { null },
    ): ConfigFollower {
        val settings = FollowerSettings(ProcessId("entry-1"), appendsSnapshots = appends)
        val follower = ConfigFollower(log, peerClient, settings, time, random = Random(1), listener = { events += it })
        backgroundScope.launch { follower.run() }
        runCurrent()
        return follower
    }

    @Test
    fun `applies a change as soon as the log has it`() =
        runTest {
            val log = MemoryLog()
            val follower = follower(log)
            val revision = log.change(-1)
            runCurrent()
            assertEquals(Revision(revision), follower.current()?.revision)
        }

    @Test
    fun `a log outage keeps the configuration and delays the next change by at most five seconds`() =
        runTest {
            val log = MemoryLog()
            val first = log.change(-1)
            val follower = follower(log)
            log.down = true
            advanceTimeBy(600_000)
            assertEquals(Revision(first), follower.current()?.revision)
            val second = log.change(first)
            log.down = false
            advanceTimeBy(5_000)
            assertEquals(Revision(second), follower.current()?.revision)
        }

    @Test
    fun `a process starts from a snapshot after the first records were removed`() =
        runTest {
            val log = MemoryLog { currentTime }
            val first = log.change(-1)
            val old = follower(log, appends = true)
            advanceTimeBy(120_000)
            assertTrue(events.any { it is FollowerEvent.SnapshotAppended }, events.toString())
            val second = log.change(first)
            log.removeBefore(first + 1)
            val joined = follower(log)
            runCurrent()
            assertEquals(Revision(second), joined.current()?.revision)
            assertEquals(old.currentState(), joined.currentState())
        }

    @Test
    fun `snapshots are renewed within a short retention time`() =
        runTest {
            val retentionMs = 90_000L
            val log = MemoryLog { currentTime }
            val revision = log.change(-1)
            follower(log, appends = true)
            repeat(200) {
                advanceTimeBy(5_000)
                val kept = log.records.firstOrNull { it.atMs > currentTime - retentionMs }?.offset ?: (log.records.last().offset + 1)
                log.removeBefore(kept)
                if (it % 10 == 9) assertEquals(Revision(revision), follower(log).current()?.revision, "after $currentTime ms")
            }
            assertTrue(events.count { it is FollowerEvent.SnapshotAppended } < 100, "${events.size} events")
        }

    @Test
    fun `without first record and snapshot the configuration comes from a peer`() =
        runTest {
            val log = MemoryLog()
            val revision = log.change(-1)
            val peer = follower(log)
            log.removeBefore(1)
            var peerAnswers = false
            val joined = follower(log) { newerThan -> if (peerAnswers) peer.offer(newerThan) else null }
            advanceTimeBy(10_000)
            assertNull(joined.current())
            assertTrue(FollowerEvent.ReplayStartMissing in events)
            peerAnswers = true
            advanceTimeBy(10_000)
            assertEquals(Revision(revision), joined.current()?.revision)
        }

    @Test
    fun `a hint triggers a pull from a peer while the log is down, and an older offer is ignored`() =
        runTest {
            val log = MemoryLog()
            val first = log.change(-1)
            val ahead = MemoryLog().apply { change(change(-1)) }
            val old = follower(MemoryLog())
            val peer = follower(ahead)
            var offers: (Revision) -> ConfigOffer = { old.offer(it) }
            val follower = follower(log) { offers(it) }
            log.down = true
            advanceTimeBy(60_000)
            assertEquals(Revision(first), follower.current()?.revision)
            offers = { peer.offer(it) }
            follower.hint(Revision(3))
            runCurrent()
            assertEquals(Revision(3), follower.current()?.revision)
        }

    @Test
    fun `after a pause the process reads the log before it uses or offers its configuration`() =
        runTest {
            val log = MemoryLog()
            val first = log.change(-1)
            val time = PausableTime(this)
            val follower = follower(log, time)
            assertNotNull(follower.current())
            log.down = true
            time.pausedMs += 30_000
            assertNull(follower.current())
            assertNull(follower.offer(Revision.NONE).stateJson)
            advanceTimeBy(30_000)
            assertNull(follower.current(), "the log has not answered since")
            val second = log.change(first)
            log.down = false
            advanceTimeBy(5_000)
            assertEquals(Revision(second), follower.current()?.revision)
        }

    @Test
    fun `a log that lost its records does not revert the configuration`() =
        runTest {
            val log = MemoryLog()
            val revision = log.change(log.change(-1))
            val follower = follower(log)
            log.loseAllRecords()
            log.change(-1)
            advanceTimeBy(60_000)
            assertEquals(Revision(revision), follower.current()?.revision)
        }
}
