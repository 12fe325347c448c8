package io.knapweedferry.sidecar.server

import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.Rank
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.StreamName
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Cancel
import io.knapweedferry.api.message.Cancelled
import io.knapweedferry.api.message.ClaimQuery
import io.knapweedferry.api.message.ClaimState
import io.knapweedferry.api.message.ClaimStatus
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.ServiceAnswer
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.service.ServiceResult
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.BOOK
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.INCARNATION
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.ORGANISATION
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.READ
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.SERVICE
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.SERVICE_NAME
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.delay
import kotlinx.coroutines.test.advanceTimeBy
import kotlinx.coroutines.test.runCurrent
import kotlinx.coroutines.test.runTest
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

/** Guards against a claimed call that runs twice, or runs after its refusal was reported to the caller. */
@OptIn(ExperimentalCoroutinesApi::class)
internal class InvokeHandlerSpec {
    @Test
    fun `a claim is dispatched once and its outcome is retained for later calls and queries`() =
        runTest {
            val fixture = SidecarFixture(this)
            val answers = List(2) { fixture.ask(invoke("r$it", claim = claim())).single() as ServiceAnswer }
            assertEquals(listOf("ok", "ok"), answers.map { it.body })
            assertEquals(1, fixture.serviceCalls)
            assertEquals("ok", status(fixture).answer?.body)
            advanceTimeBy(900_001)
            assertEquals(ClaimState.UNKNOWN, status(fixture).state, "the answer has expired, the dispatch is still recorded")
        }

    @Test
    fun `a call without a required or current claim, or with an unknown operation, is refused`() =
        runTest {
            val fixture = SidecarFixture(this)
            val cases =
                listOf(
                    invoke("a", claim = claim(Incarnation("former"))) to RefusalReason.STALE_INCARNATION,
                    invoke("b", operation = BOOK) to RefusalReason.KEY_REQUIRED,
                    invoke("c", operation = OperationName("none")) to RefusalReason.UNKNOWN_SERVICE,
                )
            for ((request, reason) in cases) assertEquals(reason, (fixture.ask(request).single() as Refused).refusal.reason)
            assertEquals(0, fixture.serviceCalls)
        }

    @Test
    fun `a query refuses an unseen claim, then voids it, and the claim is never dispatched`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.appendVoid = {
                assertTrue(
                    fixture.ask(invoke("early", claim = it)).single() is Refused,
                    "the claim must be refused before its void is appended",
                )
                PlatformError.NoResponse("log down").left()
            }
            assertEquals(ClaimState.REFUSED, status(fixture).state)
            fixture.appendVoid = { Unit.right() }
            assertEquals(ClaimState.VOIDED, status(fixture).state)
            assertTrue(fixture.ask(invoke("late", claim = claim())).single() is Refused)
            assertEquals(0, fixture.serviceCalls)
        }

    @Test
    fun `the state of a claim follows from the error of the service call`() =
        runTest {
            val cases =
                listOf(
                    PlatformError.NotSent("n") to ClaimState.VOIDED,
                    PlatformError.NoResponse("n") to ClaimState.UNKNOWN,
                    PlatformError.InvalidResponse("n") to ClaimState.UNKNOWN,
                    PlatformError.Rejected(500, "n") to ClaimState.UNKNOWN,
                )
            for ((error, state) in cases) {
                val fixture = SidecarFixture(this)
                fixture.callService = { error.left() }
                val reply = fixture.ask(invoke("r", claim = claim())).single()
                assertEquals(state == ClaimState.VOIDED, reply is Refused, "$error")
                assertEquals(state, status(fixture).state, "$error")
            }
        }

    @Test
    fun `a claimed call continues after its caller disconnects and a second caller gets its outcome`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.callService = {
                delay(500)
                ServiceResult(201, "text/plain", "booked").right()
            }
            val first = fixture.start(invoke("r", claim = claim()))
            first.sink.disconnect()
            assertEquals(ClaimState.IN_PROGRESS, status(fixture).state)
            assertEquals("booked", (fixture.ask(invoke("s", claim = claim())).single() as ServiceAnswer).body)
            assertEquals(1, fixture.serviceCalls)
        }

    @Test
    fun `a call to a service that does not answer fails and is not refused`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.callService = {
                delay(60_000)
                error("unreachable")
            }
            val reply = fixture.ask(invoke("r", claim = claim())).single() as AttemptFailed
            assertEquals(FailureReason.SERVICE_SILENT, reply.reason)
        }

    @Test
    fun `a call cancelled in the queue is not dispatched and its claim can be voided`() =
        runTest {
            val fixture = SidecarFixture(this)
            fixture.callService = {
                delay(500)
                ServiceResult(200, "text/plain", "ok").right()
            }
            fixture.start(invoke("first"))
            val waiting = fixture.start(invoke("r", claim = claim()))
            val cancelled = fixture.ask(Cancel(RequestId("r"), ORGANISATION, 1, SERVICE)).single()
            assertEquals(Cancelled(beforeSubmission = true), cancelled)
            advanceTimeBy(1_000)
            runCurrent()
            assertEquals(RefusalReason.LEASE_EXPIRED, waiting.refusal)
            assertEquals(1, fixture.serviceCalls)
            assertEquals(ClaimState.VOIDED, status(fixture).state)
        }

    private suspend fun status(fixture: SidecarFixture) = fixture.ask(ClaimQuery(SERVICE, claim())).single() as ClaimStatus

    private fun claim(incarnation: Incarnation = INCARNATION) =
        ClaimRef(ClaimId("c"), IdempotencyKey("k"), 1, incarnation, StreamName("claims-0"))

    private fun invoke(
        request: String,
        operation: OperationName = READ,
        claim: ClaimRef? = null,
    ) = Invoke(RequestId(request), 1, SERVICE, ORGANISATION, SERVICE_NAME, operation, Rank.STANDARD, "body", 5_000, claim)
}
