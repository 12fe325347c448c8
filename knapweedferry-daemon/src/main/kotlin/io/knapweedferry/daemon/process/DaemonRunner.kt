package io.knapweedferry.daemon.process

import io.javalin.util.JavalinException
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.ExitCode
import io.knapweedferry.telemetry.LogEvent
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.runBlocking
import sun.misc.Signal
import java.io.IOException
import java.net.BindException
import java.util.concurrent.atomic.AtomicInteger

/** Runs a daemon until SIGTERM or SIGINT. The first signal drains it, the second one halts the JVM at once. */
internal class DaemonRunner(
    private val events: EventLog,
    private val createProcess: (EventLog) -> DaemonProcess,
) {
    private val signalCount = AtomicInteger()
    private val shutdownRequested = CompletableDeferred<Unit>()

    /** Blocks until the daemon has shut down or failed to start. */
    fun run(): ExitCode =
        runBlocking {
            val process = createProcess(events)
            events.write(LogEvent.PROCESS_STARTING, "process" to process.processId)
            installSignalHandlers(process)
            try {
                process.start()
            } catch (failure: IOException) {
                return@runBlocking startFailureExitCode(failure)
            } catch (failure: JavalinException) {
                return@runBlocking startFailureExitCode(failure)
            }
            events.write(LogEvent.PROCESS_STARTED, "process" to process.processId)
            shutdownRequested.await()
            shutDown(process)
        }

    private suspend fun shutDown(process: DaemonProcess): ExitCode {
        events.write(LogEvent.SHUTDOWN_STARTED, "in_progress" to process.requestsInFlight)
        val drained = process.drain(process.drainTimeoutMs)
        if (drained) {
            events.write(LogEvent.SHUTDOWN_DRAINED)
        } else {
            events.write(LogEvent.SHUTDOWN_TIMED_OUT, "cut" to process.requestsInFlight)
        }
        process.stop()
        events.write(LogEvent.PROCESS_STOPPED, "process" to process.processId)
        return if (drained) ExitCode.STOPPED else ExitCode.DRAIN_TIMED_OUT
    }

    /** Handles signals directly, because JVM shutdown hooks cannot tell a second signal from the first. */
    private fun installSignalHandlers(process: DaemonProcess) {
        listOf("TERM", "INT").forEach { name ->
            Signal.handle(Signal(name)) {
                if (signalCount.incrementAndGet() == 1) {
                    shutdownRequested.complete(Unit)
                } else {
                    events.write(LogEvent.SHUTDOWN_FORCED, "cut" to process.requestsInFlight)
                    Runtime.getRuntime().halt(ExitCode.DRAIN_TIMED_OUT.code)
                }
            }
        }
    }

    private fun startFailureExitCode(failure: Exception): ExitCode {
        if (generateSequence<Throwable>(failure) { it.cause }.any { it is BindException }) {
            events.write(LogEvent.PORT_IN_USE, "detail" to failure.message)
            return ExitCode.PORT_IN_USE
        }
        events.write(LogEvent.UNCAUGHT_ERROR, "detail" to failure.toString())
        return ExitCode.FAILED
    }
}
