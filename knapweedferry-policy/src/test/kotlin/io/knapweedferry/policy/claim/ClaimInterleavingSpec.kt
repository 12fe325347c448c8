package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.UUID
import kotlin.random.Random

/**
 * Guards against dispatching an idempotency key twice. Runs seeded interleavings of claimers that share two index
 * instances, with lost and delayed appends, voids, log retention, restarts of index instances and sidecars, and clock skew.
 */
internal class ClaimInterleavingSpec {
    @Test
    fun `no interleaving dispatches a key twice`() {
        val totals = IntArray(3)
        for (seed in 0 until SEEDS) {
            val simulation = Simulation(Random(seed))
            repeat(STEPS) { simulation.step() }
            for ((key, count) in simulation.dispatches) assertTrue(count <= 1, "seed $seed: $key was dispatched $count times")
            totals[0] += simulation.keys.size
            totals[1] += simulation.dispatches.size
            totals[2] += simulation.voids
        }
        println("$SEEDS interleavings: ${totals[0]} keys, ${totals[1]} dispatched once, ${totals[2]} voids")
        assertTrue(totals[1] > totals[0] / 3 && totals[2] > SEEDS, "the interleavings must include dispatches and voids")
    }

    private class Stored(
        val atMs: Long,
        val record: ClaimRecord,
    )

    private class Sidecar(
        val endpoint: EndpointId,
    ) {
        var incarnation = Incarnation("")
        val refused = HashSet<ClaimId>()
        val dispatched = HashSet<ClaimId>()
    }

    private class Claimer(
        val key: ClaimKey,
        val indexNumber: Int,
    ) {
        var claim: ClaimRecord.Claim? = null
        var mayDispatch = false
        var sent = false
    }

    private class Simulation(
        private val random: Random,
    ) {
        val keys = mutableListOf<ClaimKey>()
        val dispatches = HashMap<ClaimKey, Int>()
        var voids = 0
        private val log = mutableListOf<Stored>()
        private val delayed = mutableListOf<ClaimRecord>()
        private val claimers = mutableListOf<Claimer>()
        private val indexes = MutableList(2) { index() }
        private val sidecars = List(2) { Sidecar(EndpointId("e$it")) }.onEach { restart(it) }
        private var firstOffset = 0
        private var nowMs = 1_000_000L
        private var ids = 0

        fun step() {
            nowMs += random.nextLong(20)
            when (random.nextInt(40)) {
                0 -> restart(sidecars.random(random))
                1 -> indexes[random.nextInt(2)] = index()
                2 -> firstOffset = random.nextInt(firstOffset, log.size + 1)
                3 -> nowMs += random.nextLong(RETENTION_MS / 2)
                in 4..7 -> addClaimer()
                in 8..11 -> if (delayed.isNotEmpty()) store(delayed.removeAt(random.nextInt(delayed.size)))
                else -> claimers.randomOrNull(random)?.let { act(it) }
            }
        }

        private fun index() = ClaimIndex(RETENTION_MS, MAX_CLOCK_SKEW_MS, maxKeys = random.nextInt(1, 6))

        private fun restart(sidecar: Sidecar) {
            sidecar.incarnation = Incarnation("i${ids++}")
            sidecar.refused.clear()
            sidecar.dispatched.clear()
        }

        private fun addClaimer() {
            if (keys.isEmpty() || random.nextInt(4) == 0) {
                val createdAtMs = nowMs + random.nextLong(-MAX_CLOCK_SKEW_MS, 6 * MAX_CLOCK_SKEW_MS)
                keys += ClaimKey(UUID((createdAtMs shl 16) or 0x7000, Long.MIN_VALUE or keys.size.toLong()))
            }
            claimers += Claimer(keys.random(random), random.nextInt(2))
        }

        private fun act(claimer: Claimer) {
            val claim = claimer.claim
            val isActive =
                when {
                    claim == null -> begin(claimer)
                    claimer.mayDispatch -> dispatch(claimer, claim)
                    else -> resolve(claimer, claim)
                }
            if (!isActive) claimers -= claimer
        }

        private fun begin(claimer: Claimer): Boolean {
            val index = indexes[claimer.indexNumber]
            read(index, random.nextInt(log.size + 1))
            when (val state = index.state(claimer.key)) {
                is ClaimKeyState.NotCovered -> return false
                is ClaimKeyState.Claimed -> return querySidecar(state.claim)
                is ClaimKeyState.Unclaimed -> Unit
            }
            val sidecar = sidecars.random(random)
            val id = ClaimId("c${ids++}")
            val claim = ClaimRecord.Claim(id, claimer.key.key, sidecar.endpoint, sidecar.incarnation, 1, RequestId("r"))
            claimer.claim = claim
            append(claim)
            return true
        }

        private fun resolve(
            claimer: Claimer,
            claim: ClaimRecord.Claim,
        ): Boolean {
            val index = indexes[claimer.indexNumber]
            read(index, log.size)
            when (index.resolution(claimer.key, claim.claimId)) {
                ClaimResolution.WON -> claimer.mayDispatch = true
                ClaimResolution.NOT_SEEN -> if (random.nextBoolean()) append(claim) else return false
                ClaimResolution.LOST, ClaimResolution.VOIDED -> claimer.claim = null
                ClaimResolution.NOT_COVERED -> return false
            }
            return true
        }

        /** Sends the dispatch, or crashes before it; a void may follow the crash. */
        private fun dispatch(
            claimer: Claimer,
            claim: ClaimRecord.Claim,
        ): Boolean {
            if (random.nextInt(4) == 0) {
                // Only a claimer that never sent the dispatch may void its own claim.
                if (!claimer.sent && random.nextBoolean()) appendVoid(claim)
                return false
            }
            claimer.sent = true
            val sidecar = sidecars.first { it.endpoint == claim.endpoint }
            val known = claim.claimId in sidecar.refused || claim.claimId in sidecar.dispatched
            if (sidecar.incarnation != claim.incarnation || known) return false
            sidecar.dispatched += claim.claimId
            dispatches.merge(claimer.key, 1, Int::plus)
            return random.nextBoolean()
        }

        private fun querySidecar(claim: ClaimRecord.Claim): Boolean {
            val sidecar = sidecars.first { it.endpoint == claim.endpoint }
            if (sidecar.incarnation != claim.incarnation || claim.claimId in sidecar.dispatched) return false
            sidecar.refused += claim.claimId
            appendVoid(claim)
            return true
        }

        private fun appendVoid(claim: ClaimRecord.Claim) {
            voids++
            append(ClaimRecord.Void(claim.claimId, claim.key, ProcessId("p")))
        }

        /** Takes effect immediately, later, or never; only the log shows which. */
        private fun append(record: ClaimRecord) {
            when (random.nextInt(6)) {
                0 -> delayed += record
                1 -> Unit
                else -> store(record)
            }
        }

        private fun store(record: ClaimRecord) {
            log += Stored(nowMs - random.nextLong(MAX_CLOCK_SKEW_MS), record)
        }

        private fun read(
            index: ClaimIndex,
            end: Int,
        ) {
            for (offset in maxOf(
                index.nextOffset.toInt(),
                firstOffset,
            ) until end) {
                index.apply(offset.toLong(), log[offset].atMs, log[offset].record)
            }
            if (firstOffset == log.size) index.skipTo(firstOffset.toLong(), nowMs)
        }
    }

    private companion object {
        const val SEEDS = 5_000
        const val STEPS = 300
        const val RETENTION_MS = 2_000L
        const val MAX_CLOCK_SKEW_MS = 50L
    }
}
