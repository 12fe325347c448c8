package io.knapweedferry.testing.measure

import io.knapweedferry.testing.deploy.LocalDeployment
import kotlin.concurrent.thread

/** Applies a fault to the next of [endpoints] every few seconds until closed. */
internal class FaultSchedule(
    private val deployment: LocalDeployment,
    private val fault: MeasuredFault,
    private val endpoints: List<String>,
) : AutoCloseable {
    /** Faults so far. */
    @Volatile
    var count = 0
        private set

    private val worker =
        thread(name = "fault-schedule") {
            try {
                while (true) {
                    Thread.sleep(INTERVAL_MS)
                    apply(endpoints[count % endpoints.size])
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

    private fun apply(endpoint: String) =
        when (fault) {
            MeasuredFault.CUT -> deployment.linkFault(endpoint, "cut", """{"existing":true,"new":false}""")
            MeasuredFault.KILL ->
                deployment.sidecars.getValue(endpoint).let {
                    it.kill()
                    it.start()
                }
        }

    private companion object {
        /** Longer than the start of a sidecar, so that only one is missing at a time. */
        const val INTERVAL_MS = 3_000L
    }
}
