package io.knapweedferry.testing.fault

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import io.ktor.network.sockets.port
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.sync.Mutex
import kotlinx.coroutines.sync.withLock
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap
import kotlin.random.Random
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

/** Listening port with its connections and active faults. */
internal class ProxyRoute(
    private val settings: RouteSettings,
    private val selector: SelectorManager,
    private val scope: CoroutineScope,
    seed: Long,
) {
    private val mutex = Mutex()
    private val random = Random(seed + settings.name.hashCode())
    private val counters = RouteCounters()
    private val connections = ConcurrentHashMap.newKeySet<ProxiedConnection>()
    private var listener: ServerSocket? = null

    @Volatile
    private var delay: DelayRequest? = null

    /** Direction in which new connections are silent; null if they are not. */
    @Volatile
    private var newSilence: Direction? = null

    @Volatile
    var port = settings.listen.port
        private set

    /** Opens the listening port. */
    suspend fun listen() =
        mutex.withLock {
            if (listener != null) return@withLock
            val opened = aSocket(selector).tcp().bind(settings.listen.hostname, port) { reuseAddress = true }
            port = opened.port
            listener = opened
            scope.launch { accept(opened) }
        }

    suspend fun cut(request: CutRequest) {
        if (request.new) {
            mutex.withLock {
                listener?.close()
                listener = null
            }
        }
        if (request.existing) connections.forEach { it.close() }
    }

    fun delay(request: DelayRequest) {
        delay = request
    }

    fun silence(request: SilenceRequest) {
        if (request.new) newSilence = request.direction
        if (request.existing) connections.filter { nextRandom() < request.fraction }.forEach { it.silence(request.direction) }
    }

    /** Ends all faults except the silence of open connections, which is permanent. */
    suspend fun heal() {
        delay = null
        newSilence = null
        listen()
    }

    fun status(): RouteStatus =
        RouteStatus(
            name = settings.name,
            port = port,
            listening = listener != null,
            connections = connections.size,
            silentConnections = connections.count { it.isSilent },
            acceptedConnections = counters.acceptedConnections.get(),
            deliveredBytes = counters.deliveredBytes.get(),
            discardedBytes = counters.discardedBytes.get(),
            delay = delay,
            newSilence = newSilence,
        )

    private suspend fun accept(opened: ServerSocket) {
        while (true) {
            val client =
                try {
                    opened.accept()
                } catch (_: IOException) {
                    // A cut closed the listener.
                    return
                }
            counters.acceptedConnections.incrementAndGet()
            scope.launch { forward(client) }
        }
    }

    private suspend fun forward(client: Socket) {
        val target =
            try {
                aSocket(selector).tcp().connect(settings.target) { noDelay = true }
            } catch (_: IOException) {
                client.close()
                return
            }
        val connection = ProxiedConnection(client, target, counters, ::currentDelay)
        newSilence?.let(connection::silence)
        connections += connection
        try {
            connection.run()
        } finally {
            connections -= connection
        }
    }

    private fun currentDelay(direction: Direction): Duration {
        val request = delay ?: return Duration.ZERO
        if (!request.direction.covers(direction)) return Duration.ZERO
        return (request.ms + (nextRandom() * request.jitterMs).toLong()).milliseconds
    }

    private fun nextRandom(): Double = synchronized(random) { random.nextDouble() }
}
