package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Guards against two sidecars that dispatch for one endpoint once a suspended process resumes beside its replacement. */
internal class FrozenSidecarSpec {
    private val keyGenerator = Generators.timeBasedEpochGenerator()

    @Test
    fun `a replacement exits while a suspended sidecar holds the port`(
        @TempDir folder: Path,
    ) {
        TagStampDeployments.start(folder, serviceCount = 1, seed = 1).use { deployment ->
            TagStampClient(deployment).use { client ->
                val pausedSidecar = deployment.sidecars.getValue("dock-1")
                val key = keyGenerator.generate().toString()
                val first = client.start(key, entry = 0).get()
                assertTrue(first.isCompleted, first.toString())

                pausedSidecar.pauseProcess()
                val keysSentDuringPause = List(20) { keyGenerator.generate().toString().also { key -> client.start(key, it % 2) } }
                val replacement = deployment.replacement("dock-1")
                replacement.start()
                try {
                    val exitCode = replacement.awaitExit(EXIT_LIMIT_MS)
                    assertNotNull(exitCode, "the replacement runs concurrently with the suspended sidecar")
                    assertNotEquals(0, exitCode)
                } finally {
                    replacement.kill()
                }
                pausedSidecar.resumeProcess()

                client.awaitAll()
                keysSentDuringPause.forEach { key -> repeat(2) { client.start(key, it) } }
                // Only the original process still has the response to the first call, so an equal body shows that it answers.
                assertEquals(first.body, client.start(key, entry = 1).get().body)
                client.awaitAll()
                assertEquals(emptyList<String>(), ExecutionCounts.read(deployment).violations(client.responses))
            }
        }
    }

    private companion object {
        const val EXIT_LIMIT_MS = 10_000L
    }
}
