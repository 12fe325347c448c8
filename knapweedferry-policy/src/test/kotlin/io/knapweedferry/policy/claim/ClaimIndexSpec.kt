package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RequestId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.UUID

/** Guards against a second claim that wins, and against answers for keys whose records may be missing. */
internal class ClaimIndexSpec {
    private val key = key(createdAtMs = 10_000)

    @Test
    fun `the first claim that is not voided wins, and a claim that lost never wins`() {
        // Each case maps records in log order ("c" claim, "v" void) to the status of claims a, b and c.
        val cases =
            mapOf(
                "ca cb" to "WON LOST NOT_SEEN",
                "ca cb va" to "VOIDED LOST NOT_SEEN",
                "ca cb va cc" to "VOIDED LOST WON",
                "ca va cb" to "VOIDED WON NOT_SEEN",
                "va ca cb" to "WON LOST NOT_SEEN",
                "ca vb cb" to "WON LOST NOT_SEEN",
                "ca cb vb cc" to "WON VOIDED LOST",
                "ca va ca cb" to "VOIDED WON NOT_SEEN",
                "ca cb va cb cc" to "VOIDED LOST WON",
                "ca ca cb" to "WON LOST NOT_SEEN",
            )
        for ((log, expected) in cases) {
            val index = index()
            log.split(" ").forEachIndexed { offset, record -> index.apply(offset.toLong(), 10_000L + offset, record(record)) }
            assertEquals(expected, "abc".map { index.resolution(key, ClaimId("$it")) }.joinToString(" "), log)
            val winner = (index.state(key) as? ClaimKeyState.Claimed)?.claim?.claimId?.value
            assertEquals("abc".getOrNull(expected.split(" ").indexOf("WON"))?.toString(), winner, log)
        }
    }

    @Test
    fun `an index that misses records does not cover keys older than the records it applied`() {
        val late = index()
        late.apply(7, 10_000, record("cb"))
        assertEquals(ClaimKeyState.NotCovered, late.state(key))
        assertEquals(ClaimResolution.NOT_COVERED, late.resolution(key, ClaimId("b")))
        assertEquals(listOf(false, true), listOf(12_000L, 12_001L).map { late.coversKeyTime(it) }, "twice the clock skew")
        val gap = index()
        gap.apply(0, 9_000, record("ca"))
        assertTrue(gap.state(key) is ClaimKeyState.Claimed)
        gap.apply(2, 9_500, null)
        assertEquals(ClaimKeyState.NotCovered, gap.state(key))
        val emptied = index()
        emptied.skipTo(5, 20_000)
        assertEquals(listOf(false, true), listOf(22_000L, 22_001L).map { emptied.coversKeyTime(it) })
    }

    @Test
    fun `claims beyond the retention time or the maximum number of keys are removed and their keys not covered`() {
        val index = index()
        index.apply(0, 10_000, record("ca"))
        index.apply(1, 110_000, null)
        assertEquals(listOf(0, ClaimKeyState.NotCovered), listOf(index.size, index.state(key)))
        val small = ClaimIndex(retentionMs = 100_000, maxClockSkewMs = 1_000, maxKeys = 1)
        small.apply(0, 10_000, record("ca"))
        val other = key(createdAtMs = 14_000)
        small.apply(1, 14_000, claim("b", other))
        assertEquals(ClaimKeyState.NotCovered, small.state(key))
        assertTrue(small.state(other) is ClaimKeyState.Claimed)
    }

    @Test
    fun `claims for a key too far in the future are ignored, because the key would outlive them`() {
        val future = key(createdAtMs = 11_001)
        val index = index()
        index.apply(0, 10_000, claim("a", future))
        assertEquals(ClaimResolution.NOT_SEEN, index.resolution(future, ClaimId("a")))
        index.apply(1, 10_001, claim("b", future))
        assertEquals(ClaimResolution.WON, index.resolution(future, ClaimId("b")))
    }

    @Test
    fun `only UUIDs of version 7 are valid keys, regardless of letter case`() {
        val parsed = ClaimKey.parse(IdempotencyKey("0192F3A4-B5C6-7D7E-8F90-A1B2C3D4E5F6")).getOrNull()
        assertEquals(0x0192f3a4b5c6L, parsed?.createdAtMs)
        assertEquals("0192f3a4-b5c6-7d7e-8f90-a1b2c3d4e5f6", parsed?.key?.value)
        val bad = listOf("", "x", "1-1-7001-8001-1", UUID.randomUUID().toString(), "0192f3a4-b5c6-7d7e-cf90-a1b2c3d4e5f6")
        for (text in bad) assertEquals(RefusalReason.KEY_INVALID, ClaimKey.parse(IdempotencyKey(text)).leftOrNull()?.reason, text)
    }

    @Test
    fun `the partition of a key is stable and keys are distributed evenly`() {
        val partitions = ClaimPartitions(8)
        val fixed = ClaimKey.parse(IdempotencyKey("0192f3a4-b5c6-7d7e-8f90-a1b2c3d4e5f6")).getOrNull()!!
        assertEquals(FIXED_PARTITION, partitions.of(fixed), "a changed hash would assign one key to two streams")
        val counts = (0 until 8_000).groupingBy { partitions.of(key(10_000, it.toLong())) }.eachCount()
        assertTrue(counts.values.all { it in 850..1_150 }, "$counts")
    }

    private fun index() = ClaimIndex(retentionMs = 100_000, maxClockSkewMs = 1_000)

    private fun record(text: String): ClaimRecord {
        val id = text.drop(1)
        return if (text.startsWith("c")) claim(id, key) else ClaimRecord.Void(ClaimId(id), key.key, ProcessId("p"))
    }

    private fun claim(
        id: String,
        key: ClaimKey,
    ) = ClaimRecord.Claim(ClaimId(id), key.key, EndpointId("e"), Incarnation("i"), 1, RequestId("r"))

    private companion object {
        const val FIXED_PARTITION = 1

        fun key(
            createdAtMs: Long,
            random: Long = 1,
        ) = ClaimKey(UUID((createdAtMs shl 16) or 0x7000, Long.MIN_VALUE or random))
    }
}
