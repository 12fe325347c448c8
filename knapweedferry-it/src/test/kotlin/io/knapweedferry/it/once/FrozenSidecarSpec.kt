package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path

/** Guards against two sidecars of one endpoint that dispatch side by side, after one that was frozen wakes up. */
internal class FrozenSidecarSpec {
    private val newKeys = Generators.timeBasedEpochGenerator()

    @Test
    fun `a replacement ends while a frozen sidecar holds the port`(
        @TempDir folder: Path,
    ) {
        StampDeployments.start(folder, clerks = 1, seed = 1).use { deployment ->
            StampCalls(deployment).use { calls ->
                val frozen = deployment.sidecars.getValue("dock-1")
                val key = newKeys.generate().toString()
                val first = calls.start(key, entry = 0).get()
                assertTrue(first.isCompleted, first.toString())

                frozen.freeze()
                val duringFreeze = List(20) { newKeys.generate().toString().also { key -> calls.start(key, it % 2) } }
                val replacement = deployment.replacement("dock-1")
                replacement.start()
                try {
                    val exitCode = replacement.awaitExit(EXIT_LIMIT_MS)
                    assertNotNull(exitCode, "the replacement runs beside the frozen sidecar")
                    assertNotEquals(0, exitCode)
                } finally {
                    replacement.kill()
                }
                frozen.thaw()

                calls.awaitAll()
                duringFreeze.forEach { key -> repeat(2) { calls.start(key, it) } }
                // The same incarnation answers: only it still has the answer to the first call.
                assertEquals(first.body, calls.start(key, entry = 1).get().body)
                calls.awaitAll()
                assertEquals(emptyList<String>(), StampLedger.read(deployment).violations(calls.replies))
            }
        }
    }

    private companion object {
        const val EXIT_LIMIT_MS = 10_000L
    }
}
