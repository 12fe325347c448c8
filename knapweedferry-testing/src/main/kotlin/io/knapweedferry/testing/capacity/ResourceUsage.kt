package io.knapweedferry.testing.capacity

import io.knapweedferry.testing.deploy.ManagedProcess
import java.util.Locale

/** Resources that a process used between two samples. */
internal data class ResourceUsage(
    val cpuMs: Long,
    val ioBytes: Long,
    val residentKb: Long,
    val seconds: Double,
) {
    override fun toString(): String =
        String.format(
            Locale.ROOT,
            "rss %.1f MB, cpu %.2f %% of a core, io %.0f B/s (cpu %d ms, io %d B in %.1f s)",
            residentKb / KB_PER_MB,
            cpuMs / seconds / MS_PER_PERCENT,
            ioBytes / seconds,
            cpuMs,
            ioBytes,
            seconds,
        )

    internal companion object {
        private const val KB_PER_MB = 1024.0
        private const val MS_PER_PERCENT = 10.0
        private const val NANOS_PER_SECOND = 1e9

        /** Returns the usage of each of [processes] while [work] runs. */
        fun during(
            processes: List<ManagedProcess>,
            work: () -> Unit,
        ): List<ResourceUsage> {
            val before = processes.map { ProcessSample.of(it.pid) }
            work()
            return processes.zip(before) { process, start ->
                val end = ProcessSample.of(process.pid)
                ResourceUsage(
                    end.cpuMs - start.cpuMs,
                    end.ioBytes - start.ioBytes,
                    end.residentKb,
                    (end.atNanos - start.atNanos) / NANOS_PER_SECOND,
                )
            }
        }
    }
}
