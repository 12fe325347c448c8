package io.knapweedferry.testing.deploy

import java.nio.file.Path
import java.util.concurrent.TimeUnit
import kotlin.io.path.readText

/** Daemon as a child process, with the signals that simulate process failures. */
public class ManagedProcess(
    public val name: String,
    private val command: List<String>,
    /** File that receives the output of the daemon. */
    public val outputFile: Path,
) {
    private var process: Process? = null

    public val isAlive: Boolean get() = process?.isAlive == true

    public val pid: Long get() = checkNotNull(process) { "$name was not started" }.pid()

    /** Starts the daemon, or restarts it after it exited. */
    public fun start() {
        check(!isAlive) { "$name is already running" }
        process =
            ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.appendTo(outputFile.toFile()))
                .start()
    }

    /** Sends SIGKILL; returns once the process has exited. */
    public fun kill() {
        process?.destroyForcibly()?.waitFor()
    }

    /** Sends SIGTERM, on which the daemon drains and exits. */
    public fun terminate() {
        process?.destroy()
    }

    /** Suspends the process with SIGSTOP. */
    public fun pauseProcess(): Unit = signal("STOP")

    /** Resumes the process with SIGCONT. */
    public fun resumeProcess(): Unit = signal("CONT")

    /** Waits for the process to exit and returns its exit code, or null if it is still running after [timeoutMs]. */
    public fun awaitExit(timeoutMs: Long): Int? {
        val running = process ?: return null
        return if (running.waitFor(timeoutMs, TimeUnit.MILLISECONDS)) running.exitValue() else null
    }

    /** Output of the daemon so far. */
    public fun logText(): String = outputFile.readText()

    private fun signal(signalName: String) {
        ProcessBuilder("kill", "-$signalName", pid.toString()).start().waitFor()
    }
}
