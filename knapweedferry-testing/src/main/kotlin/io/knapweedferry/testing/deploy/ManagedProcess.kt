package io.knapweedferry.testing.deploy

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

/** A daemon that a test or the demo started, with the signals that faults are made of. */
public class ManagedProcess(
    public val name: String,
    private val command: List<String>,
    /** File that the daemon writes its log lines to. */
    public val log: Path,
) {
    private var process: Process? = null

    public val isAlive: Boolean get() = process?.isAlive == true

    public val pid: Long get() = checkNotNull(process) { "$name was not started" }.pid()

    /** Starts the daemon, or starts it anew after it ended. */
    public fun start() {
        check(!isAlive) { "$name is running already" }
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()))
                .start()
    }

    /** SIGKILL; returns once the process is gone. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** SIGTERM; the daemon drains. */
    public fun terminate() {
        process?.destroy()
    }

    /** SIGSTOP. */
    public fun freeze(): Unit = signal("STOP")

    /** SIGCONT. */
    public fun thaw(): Unit = signal("CONT")

    /** Exit code, or null if the process still runs after [timeoutMs]. */
    public fun awaitExit(timeoutMs: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) running.exitValue() else null
    }

    /** Everything that the daemon logged so far. */
    public fun logText(): String = log.readText()

    private fun signal(name: String) {
        ProcessBuilder("kill", "-$name", pid.toString()).start().waitFor()
    }
}
