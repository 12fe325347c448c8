package io.knapweedferry.testing.capacity

import java.nio.file.Path
import kotlin.io.path.readText

/** Resource counters of one process, read from `/proc`. */
internal data class ProcessSample(
    val atNanos: Long,
    val cpuMs: Long,
    val residentKb: Long,
    /** Bytes read and written by system calls; for a daemon, these are its socket and log file I/O. */
    val ioBytes: Long,
) {
    internal companion object {
        /** Linux reports CPU time to user space in units of 1/100 second. */
        private const val MS_PER_TICK = 10L

        // Indexes in the fields after the command name, which is in parentheses and may contain spaces.
        private const val USER_TICKS_INDEX = 11
        private const val SYSTEM_TICKS_INDEX = 12

        fun of(pid: Long): ProcessSample {
            val folder = Path.of("/proc", pid.toString())
            val stat =
                folder
                    .resolve("stat")
                    .readText()
                    .substringAfterLast(") ")
                    .split(' ')
            val io = numericFields(folder.resolve("io").readText())
            return ProcessSample(
                System.nanoTime(),
                (stat[USER_TICKS_INDEX].toLong() + stat[SYSTEM_TICKS_INDEX].toLong()) * MS_PER_TICK,
                numericFields(folder.resolve("status").readText()).getValue("VmRSS"),
                io.getValue("rchar") + io.getValue("wchar"),
            )
        }

        private fun numericFields(text: String): Map<String, Long> =
            text
                .lines()
                .mapNotNull { line ->
                    val value =
                        line
                            .substringAfter(':')
                            .trim()
                            .substringBefore(' ')
                            .toLongOrNull()
                    value?.let { line.substringBefore(':') to it }
                }.toMap()
    }
}
