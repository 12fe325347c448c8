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

/** One listening port, its connections and the faults in force. */
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
    private var delay: DelayOrder? = null

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

    suspend fun cut(order: CutOrder) {
        if (order.new) {
            mutex.withLock {
                listener?.close()
                listener = null
            }
        }
        if (order.existing) connections.forEach { it.close() }
    }

    fun delay(order: DelayOrder) {
        delay = order
    }

    fun silence(order: SilenceOrder) {
        if (order.new) newSilence = order.direction
        if (order.existing) connections.filter { draw() < order.fraction }.forEach { it.silence(order.direction) }
    }

    /** Ends all faults but the silence of open connections. */
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
            silentConnections = connections.count { it.silent },
            acceptedConnections = counters.accepted.get(),
            deliveredBytes = counters.delivered.get(),
            discardedBytes = counters.discarded.get(),
            delay = delay,
            newSilence = newSilence,
        )

    private suspend fun accept(opened: ServerSocket) {
        while (true) {
            val client =
                try {
                    opened.accept()
                } catch (_: IOException) {
                    // The listener was closed by a cut.
                    return
                }
            counters.accepted.incrementAndGet()
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
        val order = delay ?: return Duration.ZERO
        if (!order.direction.covers(direction)) return Duration.ZERO
        return (order.ms + (draw() * order.jitterMs).toLong()).milliseconds
    }

    private fun draw(): Double = synchronized(random) { random.nextDouble() }
}
