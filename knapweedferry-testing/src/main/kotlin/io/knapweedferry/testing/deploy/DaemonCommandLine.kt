package io.knapweedferry.testing.deploy

import java.nio.file.Path

/** Command line that starts a daemon, with the same JVM options as the start script. */
internal class DaemonCommandLine(
    private val classPath: String,
) {
    fun entry(settings: Path): List<String> = command("entry", settings, heap = "-Xmx192m")

    fun sidecar(settings: Path): List<String> = command("sidecar", settings, heap = "-Xmx96m")

    private fun command(
        role: String,
        settings: Path,
        heap: String,
    ): List<String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val options = listOf("-XX:+UseSerialGC", "-Xss256k", "-XX:TieredStopAtLevel=1", heap)
        return listOf(java) + options + listOf("-cp", classPath, MAIN_CLASS, role, "--config", settings.toString())
    }

    private companion object {
        const val MAIN_CLASS = "io.knapweedferry.daemon.MainKt"
    }
}
