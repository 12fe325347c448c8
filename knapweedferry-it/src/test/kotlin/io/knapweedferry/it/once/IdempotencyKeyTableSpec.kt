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

/** Guards against idempotency keys without a usable timestamp, and against answers disclosed to another organisation. */
@TestInstance(Lifecycle.PER_CLASS)
internal class IdempotencyKeyTableSpec {
    private lateinit var deployment: LocalDeployment
    private lateinit var client: TagStampClient
    private val keyGenerator = Generators.timeBasedEpochGenerator()

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        deployment = TagStampDeployments.start(folder, serviceCount = 1, seed = 1)
        client = TagStampClient(deployment)
    }

    @AfterAll
    fun stop() {
        client.close()
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
    fun `a key without a valid timestamp is rejected before anything runs`(
        key: String?,
        status: Int,
        code: String,
    ) {
        val before = ExecutionCounts.read(deployment).total
        val response = client.send(entry = 0, key)
        assertEquals(
            listOf(status.toString(), code, "not_run"),
            listOf(response.status.toString(), response.field("code"), response.field("outcome")),
        )
        assertEquals(before, ExecutionCounts.read(deployment).total)
    }

    @Test
    fun `a key of another organisation returns no stored answer and causes no execution`() {
        val key = keyGenerator.generate().toString()
        val own = client.send(entry = 0, key)
        assertTrue(own.isCompleted, own.toString())
        val foreign = List(2) { client.send(it, key, asOtherOrganisation = true) }
        assertEquals(listOf("key_invalid", "key_invalid"), foreign.map { it.field("code") })
        assertEquals(listOf(true, true), foreign.map { it.isNotRun })
        assertEquals(own.body, client.send(entry = 1, key).body)
        assertEquals(1, ExecutionCounts.read(deployment).executionsOf(key))
    }

    @Test
    fun `keys that differ only in letter case are the same key`() {
        val key = keyGenerator.generate().toString()
        val first = client.send(entry = 0, key)
        val second = client.send(entry = 1, key.uppercase())
        assertEquals(first.body, second.body)
        assertEquals(1, ExecutionCounts.read(deployment).executionsOf(key))
    }
}
