package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path

/** Guards against keys whose age is not known, and against an answer that reaches another organisation. */
@TestInstance(Lifecycle.PER_CLASS)
internal class IdempotencyKeyTableSpec {
    private lateinit var deployment: LocalDeployment
    private lateinit var calls: StampCalls
    private val newKeys = Generators.timeBasedEpochGenerator()

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        deployment = StampDeployments.start(folder, clerks = 1, seed = 1)
        calls = StampCalls(deployment)
    }

    @AfterAll
    fun stop() {
        calls.close()
        deployment.close()
    }

    @ParameterizedTest(name = "key {0} gives {1} {2}")
    @CsvSource(
        "                                     , 400, key_required",
        "''                                   , 400, key_invalid",
        "stamp-17                             , 400, key_invalid",
        "3f1c2b6e-7d1a-4c6b-9a51-0e5d7f3c2a10 , 400, key_invalid",
        "00000000-0000-0000-0000-000000000000 , 400, key_invalid",
        "ffffffff-ffff-7fff-bfff-ffffffffffff , 400, key_invalid",
        "019b0000-0000-7000-c000-000000000001 , 400, key_invalid",
    )
    fun `a key without a known age is refused before anything runs`(
        key: String?,
        status: Int,
        code: String,
    ) {
        val before = StampLedger.read(deployment).total
        val reply = calls.send(entry = 0, key)
        assertEquals(
            listOf(status.toString(), code, "not_run"),
            listOf(reply.status.toString(), reply.field("code"), reply.field("outcome")),
        )
        assertEquals(before, StampLedger.read(deployment).total)
    }

    @Test
    fun `a key of another organisation brings neither its answer nor an execution`() {
        val key = newKeys.generate().toString()
        val own = calls.send(entry = 0, key)
        assertTrue(own.isCompleted, own.toString())
        val foreign = List(2) { calls.send(it, key, byOther = true) }
        assertEquals(listOf("key_invalid", "key_invalid"), foreign.map { it.field("code") })
        assertEquals(listOf(true, true), foreign.map { it.isNotRun })
        assertEquals(own.body, calls.send(entry = 1, key).body)
        assertEquals(1, StampLedger.read(deployment).of(key))
    }

    @Test
    fun `upper and lower case are one key`() {
        val key = newKeys.generate().toString()
        val first = calls.send(entry = 0, key)
        val second = calls.send(entry = 1, key.uppercase())
        assertEquals(first.body, second.body)
        assertEquals(1, StampLedger.read(deployment).of(key))
    }
}
