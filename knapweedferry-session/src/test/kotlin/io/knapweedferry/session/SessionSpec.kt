package io.knapweedferry.session

import arrow.core.Either
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.Acknowledged
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.api.message.Describe
import io.knapweedferry.api.message.Message
import io.knapweedferry.api.message.Tokens
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.awaitCancellation
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.runBlocking
import kotlinx.coroutines.withTimeout
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.io.IOException
import java.nio.ByteBuffer

/** Guards against sessions that lose, mix up or block exchanges, and against unauthenticated peers. */
internal class SessionSpec {
    private val counters = RecordedCounters()

    @Test
    fun `concurrent exchanges on one session receive their own replies in order`() =
        serving({ _, request, replies ->
            val size = (request as ConfigPull).newerThan.value.toInt()
            repeat(size) { replies.send(offer(it.toLong())) }
        }) { client, address ->
            val received =
                (1..100)
                    .map { size ->
                        async {
                            val exchange = client.open(address, ConfigPull(Revision(size.toLong()))).orFail()
                            receiveAll(exchange).map { (it as ConfigOffer).appliedOffset }
                        }
                    }.awaitAll()
            assertEquals((1..100).map { size -> (0L until size).toList() }, received)
            assertEquals(2, counters.count("opened"), "one count from each end of a single session")
        }

    @Test
    fun `a client with another key gets an authentication error and no handler runs`() =
        serving({ _, _, _ -> error("must not run") }) { _, address ->
            Sessions.client(settings("intruder", key = 2), counters).use { client ->
                assertInstanceOf(SessionError.NotAuthenticated::class.java, client.open(address, Describe).leftOrNull())
            }
            assertEquals(0, counters.count("handler_failed"))
        }

    @Test
    fun `a proof replayed from another handshake is rejected`() =
        serving({ _, _, _ -> }) { _, address ->
            val nonce = HandshakeProof.nonce()
            RawPeer().use { peer ->
                val proof = CompletableDeferred<ByteArray>()
                repeat(2) {
                    val channel = FrameChannel(peer.connect(address.substringAfter(':').toInt()))
                    channel.send(HandshakeFrame.Hello(HandshakeProof.VERSION, "client", nonce))
                    val challenge = channel.readHandshake().getOrNull() as HandshakeFrame.Challenge
                    proof.complete(HandshakeProof(KEY, "client", nonce, challenge.processId, challenge.nonce).clientProof())
                    channel.send(HandshakeFrame.Proof(proof.await()))
                }
                counters.await("opened")
                counters.await("not_authenticated")
                assertEquals(1, counters.count("opened"))
            }
        }

    @ParameterizedTest
    @EnumSource
    fun `an invalid frame closes the session with a counted reason`(case: BrokenFrame) =
        serving({ _, _, _ -> }) { client, address ->
            RawPeer().use { peer ->
                val socket = peer.connect(address.substringAfter(':').toInt())
                val output = socket.openWriteChannel()
                ClientHandshake(settings("client")).run(FrameChannel(socket.openReadChannel(), output, socket::close))
                output.writeFully(case.bytes)
                output.flush()
                if (case.endsStream) socket.close()
                counters.await(case.reason.code)
            }
            assertEquals(emptyList<Message>(), receiveAll(client.open(address, Describe).orFail()))
        }

    @Test
    fun `exchanges with an unresponsive peer end as lost and the next open reconnects`() =
        runBlocking {
            RawPeer().use { peer ->
                val listener = peer.listen()
                val address = "127.0.0.1:${(listener.localAddress as InetSocketAddress).port}"
                val accepting =
                    launch {
                        while (true) ServerHandshake(settings("server")).run(FrameChannel(listener.accept()))
                    }
                Sessions.client(settings("client"), counters).use { client ->
                    withTimeout(TEST_TIMEOUT_MS) {
                        val first = client.open(address, Describe).orFail()
                        assertInstanceOf(SessionError.Lost::class.java, first.receive().leftOrNull())
                        counters.await("silent")
                        client.open(address, Describe).orFail()
                        assertEquals(2, counters.count("opened"))
                    }
                }
                accepting.cancel()
                listener.close()
            }
        }

    @Test
    fun `a slow reader fails its own exchange only`() =
        serving({ _, request, replies ->
            if (request is Describe) {
                while (replies.send(Acknowledged)) Unit
            } else {
                replies.send(Acknowledged)
            }
        }) { client, address ->
            val slow = client.open(address, Describe).orFail()
            counters.await("reader_too_slow")
            val quick = client.open(address, ConfigPull(Revision.NONE)).orFail()
            assertEquals(listOf<Message>(Acknowledged), receiveAll(quick))
            repeat(ClientExchange.MAX_QUEUED_REPLIES) { slow.receive().orFail() }
            assertInstanceOf(SessionError.Lost::class.java, slow.receive().leftOrNull())
            assertEquals(2, counters.count("opened"))
        }

    @Test
    fun `heartbeats keep a session open during a long exchange`() {
        val release = CompletableDeferred<Unit>()
        serving({ _, _, replies ->
            release.await()
            replies.send(Acknowledged)
        }) { client, address ->
            val exchange = client.open(address, Describe).orFail()
            launch {
                delay(settings("any").heartbeatTimeoutMs * 2)
                release.complete(Unit)
            }
            assertEquals(listOf<Message>(Acknowledged), receiveAll(exchange))
            assertEquals(0, counters.count("silent"))
        }
    }

    @Test
    fun `a handler is notified when its exchange is abandoned`() {
        val replySent = CompletableDeferred<Boolean>()
        serving({ _, _, replies ->
            replies.awaitClosed()
            replySent.complete(replies.send(Acknowledged))
        }) { client, address ->
            val exchange = client.open(address, Describe).orFail()
            exchange.close()
            assertFalse(replySent.await())
        }
    }

    @Test
    fun `a request that exceeds the frame size limit is not sent and such a reply ends the exchange as lost`() =
        serving({ _, _, replies -> replies.send(large) }) { client, address ->
            assertInstanceOf(SessionError.TooLarge::class.java, client.open(address, large).leftOrNull())
            assertInstanceOf(
                SessionError.Lost::class.java,
                client
                    .open(address, Describe)
                    .orFail()
                    .receive()
                    .leftOrNull(),
            )
            assertEquals(1, counters.count("handler_failed"))
        }

    @Test
    fun `drain and close deliver all replies sent before`() {
        val started = CompletableDeferred<Unit>()
        val release = CompletableDeferred<Unit>()
        runBlocking {
            val server =
                Sessions.server(settings("server"), { _, _, replies ->
                    started.complete(Unit)
                    release.await()
                    repeat(200) { replies.send(offer(it.toLong())) }
                }, counters = counters)
            Sessions.client(settings("client"), counters).use { client ->
                withTimeout(TEST_TIMEOUT_MS) {
                    val exchange = client.open("127.0.0.1:${server.port}", Describe).orFail()
                    started.await()
                    server.stopAccepting()
                    val replies = async { receiveAll(exchange) }
                    release.complete(Unit)
                    server.drain()
                    server.close()
                    assertEquals(200, replies.await().size)
                }
            }
        }
    }

    /** Requests in transit while a server closes its sessions would be lost, and their callers could not tell whether they ran. */
    @Test
    fun `a server that stops under load loses no exchange`() {
        val ends =
            (1..STOPPED_SERVERS).flatMap {
                runBlocking {
                    val server = Sessions.server(settings("server"), { _, _, replies -> replies.send(offer(1)) }, counters = counters)
                    Sessions.client(settings("client"), counters).use { client ->
                        withTimeout(TEST_TIMEOUT_MS) {
                            val callers =
                                List(CALLERS) { async(Dispatchers.Default) { requestUntilRefused(client, "127.0.0.1:${server.port}") } }
                            delay(STOP_AFTER_MS)
                            server.stopAccepting()
                            server.drain()
                            server.close()
                            callers.awaitAll()
                        }
                    }
                }
            }
        assertEquals(emptyList<SessionError>(), ends.filterIsInstance<SessionError.Lost>())
        assertEquals(STOPPED_SERVERS * CALLERS, ends.size)
    }

    @Test
    fun `drain does not wait forever for a peer that ignores the request to close`() =
        runBlocking {
            val server = Sessions.server(settings("server"), { _, _, _ -> }, counters = counters)
            RawPeer().use { peer ->
                val socket = peer.connect(server.port)
                ClientHandshake(settings("client")).run(FrameChannel(socket.openReadChannel(), socket.openWriteChannel(), socket::close))
                counters.await("opened")
                server.stopAccepting()
                withTimeout(TEST_TIMEOUT_MS) { server.drain() }
                server.close()
            }
        }

    private suspend fun requestUntilRefused(
        client: SessionClient,
        address: String,
    ): SessionError {
        while (true) {
            val exchange = client.open(address, Describe).fold({ return it }, { it })
            while (true) exchange.receive().fold({ return it }, { it }) ?: break
        }
    }

    @Test
    fun `a second server on the same port fails`() =
        serving({ _, _, _ -> }) { _, address ->
            assertThrows(IOException::class.java) {
                runBlocking { Sessions.server(settings("second"), { _, _, _ -> }, address) }
            }
        }

    @Test
    fun `an unreachable or invalid address is reported as not connected`() =
        serving({ _, _, _ -> awaitCancellation() }) { client, _ ->
            for (address in listOf("127.0.0.1:1", "no-port", "127.0.0.1:99999")) {
                assertInstanceOf(SessionError.NotConnected::class.java, client.open(address, Describe).leftOrNull(), address)
            }
        }

    private fun serving(
        handler: ExchangeHandler,
        body: suspend CoroutineScope.(SessionClient, String) -> Unit,
    ): Unit =
        runBlocking {
            Sessions.server(settings("server"), handler, counters = counters).use { server ->
                Sessions.client(settings("client"), counters).use { client ->
                    withTimeout(TEST_TIMEOUT_MS) { body(client, "127.0.0.1:${server.port}") }
                }
            }
        }

    private suspend fun receiveAll(exchange: Exchange): List<Message> =
        buildList {
            while (true) add(exchange.receive().orFail() ?: break)
        }

    private fun offer(offset: Long) = ConfigOffer(Revision(offset), offset, null)

    private fun <T> Either<SessionError, T>.orFail(): T = fold({ error(it.message) }, { it })

    private fun settings(
        id: String,
        key: Int = 1,
    ) = SessionSettings(
        processId = ProcessId(id),
        key = SessionKey(ByteArray(32) { key.toByte() }),
        heartbeatIntervalMs = 100,
        heartbeatTimeoutMs = 400,
        maxFrameBytes = 65_536,
        connectTimeoutMs = 1_000,
    )

    /** Byte sequences that are not a valid frame. */
    internal enum class BrokenFrame(
        val reason: CloseReason,
        val bytes: ByteArray,
        val endsStream: Boolean = false,
    ) {
        OVERSIZED(CloseReason.FRAME_TOO_LARGE, ByteBuffer.allocate(4).putInt(65_537).array()),
        NEGATIVE(CloseReason.FRAME_TOO_LARGE, ByteBuffer.allocate(4).putInt(-1).array()),
        TRUNCATED(CloseReason.FRAME_TRUNCATED, ByteBuffer.allocate(8).putInt(100).array(), endsStream = true),
        UNKNOWN(
            CloseReason.FRAME_UNKNOWN,
            ByteBuffer
                .allocate(8)
                .putInt(4)
                .putInt(-1)
                .array(),
        ),
    }

    private companion object {
        const val TEST_TIMEOUT_MS = 10_000L
        const val STOPPED_SERVERS = 20
        const val CALLERS = 8
        const val STOP_AFTER_MS = 30L
        val KEY = SessionKey(ByteArray(32) { 1 })
        val large = Tokens(RequestId("r"), 1, 0, listOf("x".repeat(70_000)))
    }
}
