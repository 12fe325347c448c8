package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.right
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.DecodeStarted
import io.knapweedferry.api.message.Message
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.api.message.Tokens
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.policy.admission.FifoGate
import io.knapweedferry.policy.admission.GateLimits
import io.knapweedferry.session.Exchange
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import io.knapweedferry.session.SessionKey
import io.knapweedferry.session.SessionSettings
import io.knapweedferry.session.Sessions
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.ENGINE
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.INCARNATION
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.MODEL
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.attach
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.decode
import io.knapweedferry.sidecar.server.SidecarFixture.Companion.reserve
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.Job
import kotlinx.coroutines.cancel
import kotlinx.coroutines.delay
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

/** Guards against a sidecar that does not detect the end of a TCP session, or loses tokens when its reader reconnects. */
internal class SidecarSessionSpec {
    private val engine = FakeEngine().apply { tokenMs = 20 }

    @Test
    fun `a reader that reconnects gets the rest of its answer`() =
        serving { address ->
            val first = client()
            val exchange = first.start(address)
            val head = listOf(exchange.next(), exchange.next(), exchange.next())
            assertInstanceOf(DecodeStarted::class.java, head.first())
            val delivered = head.filterIsInstance<Tokens>().flatMap { it.texts }
            first.close()
            client().use { second ->
                val rest = second.open(address, attach(delivered.size)).orFail()
                val tail = generateSequence { runBlocking { rest.receive() }.orFail() }.toList()
                assertEquals(List(FakeEngine.TOKENS) { "t$it" }, delivered + tail.filterIsInstance<Tokens>().flatMap { it.texts })
                assertInstanceOf(AnswerEnd::class.java, tail.last())
            }
        }

    @Test
    fun `a stream whose session has ended is cancelled in the engine after the grace period`() =
        serving { address ->
            engine.tokenMs = TEST_TIMEOUT_MS
            client().use {
                it.start(address).next()
                assertEquals(1, engine.holding.size)
            }
            while (engine.holding.isNotEmpty()) delay(POLL_MS)
        }

    private fun serving(body: suspend (String) -> Unit): Unit =
        runBlocking {
            val scope = CoroutineScope(Dispatchers.Default.limitedParallelism(1) + Job())
            val assignment = EndpointAssignment(EndpointRole.DECODE, MODEL)
            val snapshot = ConfigSnapshot(Revision(1), ConfigState(endpoints = mapOf(ENGINE to assignment)), 1)
            val sidecar =
                Sidecar(
                    settings = SidecarSettings(ProcessId("sidecar"), INCARNATION, graceMs = 400),
                    definitions = listOf(EndpointDefinition.OfEngine(ENGINE, engine, LIMITS, LIMITS, kvBlockTokens = 100)),
                    gates = ::FifoGate,
                    config = { snapshot },
                    voider = { Unit.right() },
                    scope = scope,
                )
            try {
                Sessions.server(settings("sidecar"), sidecar).use { server ->
                    withTimeout(TEST_TIMEOUT_MS) { body("127.0.0.1:${server.port}") }
                }
            } finally {
                scope.cancel()
            }
        }

    private suspend fun SessionClient.start(address: String): Exchange {
        val reserved = open(address, reserve()).orFail().next() as Reserved
        return open(address, decode(reserved.lease)).orFail()
    }

    private suspend fun Exchange.next(): Message = receive().orFail() ?: error("the exchange ended")

    private fun <T> Either<SessionError, T>.orFail(): T = fold({ error(it.message) }, { it })

    private fun client() = Sessions.client(settings("entry"))

    private fun settings(id: String) = SessionSettings(ProcessId(id), SessionKey(ByteArray(32) { 1 }))

    private companion object {
        const val TEST_TIMEOUT_MS = 10_000L
        const val POLL_MS = 10L
        val LIMITS = GateLimits(2, 10, 4)
    }
}
