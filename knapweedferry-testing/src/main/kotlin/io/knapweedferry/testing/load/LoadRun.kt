package io.knapweedferry.testing.load

import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Sends the load of a scenario to running entries and measures the answers. */
public class LoadRun(
    private val scenario: LoadScenario,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) {
    private val client = LoadClient(scenario)

    /** Sends each request at its planned arrival time, waits for all answers and returns the report. May be called only once. */
    public fun run(): LoadReport = client.use { runBlocking(Dispatchers.Default) { offer(ArrivalPlan(scenario).requests()) } }

    private suspend fun offer(requests: List<PlannedRequest>): LoadReport =
        coroutineScope {
            val start = timeSource.markNow()
            var lagMaxMs = 0.0
            val answers =
                requests.map { request ->
                    val arrival = start + request.atMs.milliseconds
                    delay(-arrival.elapsedNow())
                    lagMaxMs = maxOf(lagMaxMs, arrival.elapsedNow().inWholeMicroseconds / MICROS_PER_MS)
                    async { client.send(request, arrival) }
                }
            ReportBuilder(scenario).build(answers.awaitAll(), lagMaxMs)
        }

    private companion object {
        const val MICROS_PER_MS = 1_000.0
    }
}
