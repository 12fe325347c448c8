package io.knapweedferry.it.config

import io.knapweedferry.it.DaemonLibraries
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory
import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.absolutePathString
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name

/** Guards against example settings that the daemon rejects. */
internal class ExampleSettingsSpec {
    @TestFactory
    fun `the daemon accepts each example settings file`(): List<DynamicTest> {
        val files = listOf("ito", "merrimack").flatMap { deployment -> examplesOf(deployment) }
        assertTrue(files.size >= MIN_EXAMPLE_FILES, "only ${files.size} example files found")
        return files.map { DynamicTest.dynamicTest(it.name) { assertAccepted(it) } }
    }

    private fun assertAccepted(file: Path) {
        val role = file.name.substringBefore('-')
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val libraries = Path.of(DaemonLibraries.classPath).toAbsolutePath().toString()
        val command =
            listOf(java, "-XX:TieredStopAtLevel=1", "-Xmx64m", "-cp", libraries, "io.knapweedferry.daemon.MainKt") +
                listOf(role, "--config", file.absolutePathString(), "--check")
        // The settings name key files relative to the repository root.
        val process = ProcessBuilder(command).directory(ROOT.toFile()).redirectErrorStream(true).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        assertTrue(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS), output)
        assertEquals(0, process.exitValue(), output)
    }

    private fun examplesOf(deployment: String): List<Path> {
        val folder = ROOT.resolve("examples").resolve(deployment)
        return folder.listDirectoryEntries("entry-*.toml") + folder.listDirectoryEntries("sidecar-*.toml")
    }

    private companion object {
        val ROOT: Path = Path.of("..")

        /** Six entries and 26 sidecars. */
        const val MIN_EXAMPLE_FILES = 32
        const val TIMEOUT_SECONDS = 20L
    }
}
