package io.knapweedferry.testing.measure

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlin.concurrent.thread

/** Injects a fault into one of [endpoints] after another at a fixed interval until closed. */
internal class FaultSchedule(
    private val deployment: LocalDeployment,
    private val fault: MeasuredFault,
    private val endpoints: List<String>,
) : AutoCloseable {
    /** Number of faults injected so far. */
    @Volatile
    var count = 0
        private set

    private val worker =
        thread(name = "fault-schedule") {
            try {
                while (true) {
                    Thread.sleep(INTERVAL_MS)
                    inject(endpoints[count % endpoints.size])
                    count++
                }
            } catch (_: InterruptedException) {
                return@thread
            }
        }

    override fun close() {
        worker.interrupt()
        worker.join()
    }

    private fun inject(endpoint: String) =
        when (fault) {
            MeasuredFault.CUT -> deployment.injectNetworkFault(endpoint, "cut", """{"existing":true,"new":false}""")
            MeasuredFault.KILL ->
                deployment.sidecars.getValue(endpoint).let {
                    it.kill()
                    it.start()
                }
        }

    private companion object {
        /** Longer than the startup time of a sidecar, so that at most one is down at a time. */
        const val INTERVAL_MS = 3_000L
    }
}
