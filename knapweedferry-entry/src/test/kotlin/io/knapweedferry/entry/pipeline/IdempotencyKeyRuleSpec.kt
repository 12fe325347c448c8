package io.knapweedferry.entry.pipeline

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.time.Instant
import java.time.InstantSource

/** Guards against running a non-repeatable call under a key whose age is unknown. */
internal class IdempotencyKeyRuleSpec {
    // The first 48 bits of a version 7 UUID are its time: 0x0190_0000_0000 ms.
    private val rule = IdempotencyKeyRule(InstantSource.fixed(Instant.ofEpochMilli(0x0190_0000_0000)))

    @ParameterizedTest(name = "repeatable {0}, key {1}: {2}")
    @CsvSource(
        "true,  ,                                     accepted",
        "true,  anything,                             accepted",
        "false, ,                                     KEY_REQUIRED",
        "false, not-a-uuid,                           KEY_INVALID",
        "false, 01900000-0000-4000-8000-000000000000, KEY_INVALID",
        "false, 01900000-0000-7000-8000-000000000000, accepted",
        "false, 018fffff-0000-7000-8000-000000000000, accepted",
        "false, 01900001-0000-7000-8000-000000000000, KEY_INVALID",
    )
    fun `a non-repeatable call needs a version 7 UUID that is not from the future`(
        repeatable: Boolean,
        key: String?,
        expected: String,
    ) {
        assertEquals(expected, rule.requiredKey(repeatable, key).fold({ it.reason.name }, { "accepted" }))
    }
}
