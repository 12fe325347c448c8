package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.UUID

/** Guards against a guess about keys whose claims the log no longer keeps. */
internal class KeyHorizonSpec {
    private val newKeys = Generators.timeBasedEpochGenerator()

    @Test
    fun `a key from before the retained records has an unknown outcome and does not run again`(
        @TempDir folder: Path,
    ) {
        StampDeployments.start(folder, clerks = 1, seed = 1, logRetentionMs = RETENTION_MS).use { deployment ->
            StampCalls(deployment).use { calls -> repeatAfterRetention(deployment, calls) }
        }
    }

    private fun repeatAfterRetention(
        deployment: LocalDeployment,
        calls: StampCalls,
    ) {
        val key = newKeys.generate().toString()
        assertTrue(calls.send(entry = 0, key).isCompleted)
        awaitTrue("the claims of the first call leave the log") { ageMs(key) > RETENTION_MS }
        deployment.entries[1].kill()
        deployment.entries[1].start()
        deployment.awaitReady(1)
        val repeated = calls.send(entry = 1, key)
        assertEquals("unknown key_expired", "${repeated.field("outcome")} ${repeated.field("code")}", repeated.toString())
        assertEquals(1, StampLedger.read(deployment).of(key))
    }

    private fun ageMs(key: String) = System.currentTimeMillis() - (UUID.fromString(key).mostSignificantBits ushr 16)

    private fun awaitTrue(
        what: String,
        condition: () -> Boolean,
    ) {
        val deadline = System.nanoTime() + 15_000_000_000
        while (!condition()) {
            check(System.nanoTime() < deadline) { "not in time: $what" }
            Thread.sleep(20)
        }
    }

    private companion object {
        const val RETENTION_MS = 6_000L
    }
}
