package io.knapweedferry.session

import arrow.core.getOrElse
import arrow.core.left
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CoroutineExceptionHandler
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.isActive
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Accepts sessions on a TCP port. */
internal class SocketSessionServer private constructor(
    private val settings: SessionSettings,
    private val handler: ExchangeHandler,
    private val counters: SessionCounters,
    private val selector: SelectorManager,
    private val listener: ServerSocket,
) : SessionServer {
    private val exceptionHandler = CoroutineExceptionHandler { _, _ -> counters.sessionClosed(CloseReason.IO_FAILED) }
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default + exceptionHandler)
    private val context = SessionContext(settings, counters, scope)
    private val sessions: MutableSet<ServerSession> = ConcurrentHashMap.newKeySet()
    private val activeExchanges = MutableStateFlow(0)
    private val pendingHandshakes = AtomicInteger()
    private val handshake = ServerHandshake(settings)

    @Volatile
    private var accepting = true

    override val port: Int = (listener.localAddress as InetSocketAddress).port

    /** The port stays bound, to prevent a second process from serving the same endpoints. */
    override fun stopAccepting() {
        accepting = false
    }

    override suspend fun drain() {
        sessions.forEach { it.goAway() }
        activeExchanges.first { it == 0 }
        sessions.forEach { it.awaitWritten() }
        // A peer that does not respond for longer counts as lost anyway.
        withTimeoutOrNull(settings.heartbeatTimeoutMs) { awaitSessionsClosed() }
    }

    private suspend fun awaitSessionsClosed() {
        while (sessions.isNotEmpty()) delay(SESSIONS_CLOSED_POLL_MS)
    }

    override fun close() {
        accepting = false
        listener.close()
        sessions.forEach { it.close() }
        scope.cancel()
        selector.close()
    }

    private fun start() {
        scope.launch { acceptLoop() }
    }

    private suspend fun acceptLoop() {
        while (currentCoroutineContext().isActive) {
            val socket =
                try {
                    listener.accept()
                } catch (_: IOException) {
                    // For example out of file descriptors; retry until some are free.
                    delay(ACCEPT_RETRY_MS)
                    continue
                }
            startHandshake(socket)
        }
    }

    private fun startHandshake(socket: Socket) {
        if (!accepting) return socket.close()
        if (pendingHandshakes.incrementAndGet() > MAX_PENDING_HANDSHAKES) {
            pendingHandshakes.decrementAndGet()
            counters.sessionClosed(CloseReason.HANDSHAKE_LIMIT)
            return socket.close()
        }
        scope.launch {
            try {
                authenticate(FrameChannel(socket))
            } finally {
                pendingHandshakes.decrementAndGet()
            }
        }
    }

    private suspend fun authenticate(channel: FrameChannel) {
        val result = withTimeoutOrNull(settings.connectTimeoutMs) { handshakeResult(channel) } ?: CloseReason.HANDSHAKE_TIMEOUT.left()
        val peer =
            result.getOrElse {
                counters.sessionClosed(it)
                return channel.close()
            }
        counters.sessionOpened()
        val session = ServerSession(channel, peer, context, handler, activeExchanges) { sessions.remove(it) }
        sessions.add(session)
        session.start()
        if (!accepting) session.goAway()
    }

    private suspend fun handshakeResult(channel: FrameChannel) =
        try {
            handshake.run(channel)
        } catch (_: IOException) {
            CloseReason.IO_FAILED.left()
        }

    companion object {
        /** Bounds the resources held by unauthenticated peers. */
        private const val MAX_PENDING_HANDSHAKES = 256
        private const val ACCEPT_RETRY_MS = 100L
        private const val SESSIONS_CLOSED_POLL_MS = 5L

        suspend fun listen(
            settings: SessionSettings,
            handler: ExchangeHandler,
            listenAddress: String,
            counters: SessionCounters,
        ): SocketSessionServer {
            val address = SocketAddressParser.parse(listenAddress) ?: throw IOException("$listenAddress is not ip:port; correct it")
            val selector = SelectorManager(Dispatchers.IO)
            val listener =
                try {
                    aSocket(selector).tcp().bind(address)
                } catch (bindFailed: IOException) {
                    selector.close()
                    throw bindFailed
                }
            return SocketSessionServer(settings, handler, counters, selector, listener).apply { start() }
        }
    }
}
