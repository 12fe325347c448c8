package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.UUID

/** Guards against an assumed outcome for idempotency keys whose claims have expired from the log. */
internal class KeyHorizonSpec {
    private val keyGenerator = Generators.timeBasedEpochGenerator()

    @Test
    fun `a key older than the log retention has an unknown outcome and does not run again`(
        @TempDir folder: Path,
    ) {
        TagStampDeployments.start(folder, serviceCount = 1, seed = 1, logRetentionMs = RETENTION_MS).use { deployment ->
            TagStampClient(deployment).use { client -> retryAfterRetention(deployment, client) }
        }
    }

    private fun retryAfterRetention(
        deployment: LocalDeployment,
        client: TagStampClient,
    ) {
        val key = keyGenerator.generate().toString()
        assertTrue(client.send(entry = 0, key).isCompleted)
        awaitTrue("the claims of the first call are older than the log retention") { ageMs(key) > RETENTION_MS }
        deployment.entries[1].kill()
        deployment.entries[1].start()
        deployment.awaitReady(1)
        val repeated = client.send(entry = 1, key)
        assertEquals("unknown key_expired", "${repeated.field("outcome")} ${repeated.field("code")}", repeated.toString())
        assertEquals(1, ExecutionCounts.read(deployment).executionsOf(key))
    }

    private fun ageMs(key: String) = System.currentTimeMillis() - (UUID.fromString(key).mostSignificantBits ushr 16)

    private fun awaitTrue(
        description: String,
        condition: () -> Boolean,
    ) {
        val deadline = System.nanoTime() + 15_000_000_000
        while (!condition()) {
            check(System.nanoTime() < deadline) { "timed out waiting until $description" }
            Thread.sleep(20)
        }
    }

    private companion object {
        const val RETENTION_MS = 6_000L
    }
}
