package io.knapweedferry.sidecar.orders

import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.sidecar.server.SidecarFixture
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.ENGINE
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.MODEL
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.reserve
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.TestScope
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against engines that serve a model other than the assigned one, outdated model changes and wrong step reports. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class EndpointOrdersSpec {
    private val other = EndpointAssignment(EndpointRole.DECODE, ModelName("other"), adapter = "a")
    private val reports = mutableListOf<String>()
    private var stepState = PlanStepState.DUE
    private var logAvailable = true
    private var wallMs = 0L
    private var refresh: suspend () -> Boolean = { true }

    @Test
    fun `a model change drains the endpoint, orders with revision and incarnation, reports and accepts work again`() =
        reconciling { fixture ->
            fixture.engine.tokenMs = 100
            val stream = fixture.stream()
            fixture.config = fixture.config(other, revision = 2)
            advanceTimeBy(300)
            assertTrue(fixture.engine.orders.isEmpty(), "work in progress")
            assertEquals(RefusalReason.ENDPOINT_LEAVING, fixture.start(reserve("new", model = ModelName("other"))).refusal)
            stream.job.join()
            advanceTimeBy(1_000)
            assertInstanceOf(AnswerEnd::class.java, stream.received.last())
            assertEquals(listOf(EngineCommand("other", "7", "a", "DECODE", 2, "i")), fixture.engine.orders)
            assertEquals(listOf("applied 2"), reports)
            assertInstanceOf(Reserved::class.java, fixture.ask(reserve("new", model = ModelName("other"))).single())
        }

    @Test
    fun `no order is sent before the step is due, and an endpoint with an older version accepts work until then`() =
        reconciling { fixture ->
            stepState = PlanStepState.WAITING
            fixture.config = fixture.config(EndpointAssignment(EndpointRole.MIXED, MODEL), revision = 2, version = "2")
            advanceTimeBy(1_000)
            assertTrue(fixture.engine.orders.isEmpty())
            fixture.lease()
            stepState = PlanStepState.DUE
            advanceTimeBy(5_000)
            assertEquals(listOf("2" to 2L), fixture.engine.orders.map { it.version to it.fencing })
        }

    @Test
    fun `a revision that is confirmed during an order supersedes it and only the newest is reported`() =
        reconciling { fixture ->
            fixture.engine.onOrder = {
                delay(100)
                if (fixture.engine.orders.size == 1) fixture.config = fixture.config(other.copy(adapter = "b"), revision = 3)
            }
            fixture.config = fixture.config(other, revision = 2)
            advanceTimeBy(2_000)
            assertEquals(listOf("a" to 2L, "b" to 3L), fixture.engine.orders.map { it.adapter to it.fencing })
            assertEquals(listOf("applied 3"), reports)
        }

    @Test
    fun `after a process pause the configuration is refreshed before an order`() =
        reconciling { fixture ->
            refresh = { false }
            wallMs += 60_000
            fixture.config = fixture.config(other, revision = 2)
            advanceTimeBy(1_000)
            assertTrue(fixture.engine.orders.isEmpty(), "neither log nor peer answers")
            refresh = {
                fixture.config = fixture.config(other.copy(adapter = "b"), revision = 5)
                true
            }
            advanceTimeBy(1_000)
            assertEquals(listOf(5L), fixture.engine.orders.map { it.fencing })
        }

    @Test
    fun `a step fails at once when the engine rejects the order and after several tries when it does not answer`() =
        runTest {
            val cases = listOf(PlatformError.Rejected(409, "stale") to 1, PlatformError.NoResponse("silent") to 3)
            for ((error, tries) in cases) {
                reports.clear()
                val fixture = SidecarFixture(this)
                fixture.engine.orderResult = error.left()
                fixture.config = fixture.config(other, revision = 2)
                reconciler(fixture).start()
                advanceTimeBy(5_000)
                assertEquals(tries, fixture.engine.orders.size)
                assertEquals(listOf("failed 2 ${error.message}"), reports)
            }
        }

    @Test
    fun `a report is retried until it is written to the log`() =
        reconciling { fixture ->
            logAvailable = false
            fixture.config = fixture.config(other, revision = 2)
            advanceTimeBy(1_000)
            assertTrue(reports.isEmpty())
            logAvailable = true
            advanceTimeBy(1_000)
            assertEquals(listOf("applied 2"), reports)
        }

    /** Runs [body] after the engine has reported that it serves the model assigned by revision 1. */
    private fun reconciling(body: suspend TestScope.(SidecarFixture) -> Unit) =
        runTest {
            val fixture = SidecarFixture(this)
            reconciler(fixture).start()
            advanceTimeBy(300)
            assertEquals(listOf("applied 1"), reports)
            reports.clear()
            body(fixture)
        }

    @Test
    fun `an endpoint that is drained or unassigned reports its step after its work in progress has ended`() =
        runTest {
            for (assignment in listOf(null, EndpointAssignment(EndpointRole.MIXED, MODEL, draining = true))) {
                reports.clear()
                val fixture = SidecarFixture(this)
                fixture.engine.tokenMs = 100
                fixture.stream()
                fixture.config = fixture.config(assignment, revision = 2)
                reconciler(fixture).start()
                advanceTimeBy(500)
                assertEquals(emptyList<String>(), reports)
                advanceTimeBy(1_000)
                assertEquals(listOf("applied 2"), reports)
            }
        }

    private fun reconciler(fixture: SidecarFixture) =
        SidecarReconciler(fixture.sidecar, { refresh() }, Recorder(), wallClockMs = { wallMs + fixture.nowMs })

    private inner class Recorder : StepReporter {
        override fun stepState(
            endpoint: EndpointId,
            revision: Revision,
        ) = if (endpoint == ENGINE) stepState else PlanStepState.NONE

        override suspend fun applied(
            endpoint: EndpointId,
            revision: Revision,
        ) = record("applied ${revision.value}")

        override suspend fun failed(
            endpoint: EndpointId,
            revision: Revision,
            detail: String,
        ) = record("failed ${revision.value} $detail")

        private fun record(report: String) =
            if (logAvailable) {
                reports += report
                Unit.right()
            } else {
                PlatformError.NotSent("log down").left()
            }
    }
}
