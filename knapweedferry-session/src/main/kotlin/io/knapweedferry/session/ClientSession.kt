package io.knapweedferry.session

import io.knapweedferry.api.message.Message
import kotlinx.coroutines.CancellationException
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Client side of a session. */
internal class ClientSession(
    channel: FrameChannel,
    context: SessionContext,
    private val onSessionClosed: (ClientSession) -> Unit,
) : FrameHandler {
    private val settings = context.settings
    private val counters = context.counters
    private val exchanges = ConcurrentHashMap<Long, ClientExchange>()
    private val nextId = AtomicLong()
    private val connection = Connection(channel, context, this)

    @Volatile
    private var retired = false

    override val inFlight: Int get() = exchanges.size

    /**
     * Whether a new exchange may use this session. A session without recent traffic may be dead, and waiting for its
     * timeout would delay new exchanges, so these get a new connection.
     */
    val isUsable: Boolean
        get() {
            if (!connection.isOpen || retired) return false
            if (inFlight == 0) return connection.sinceLastReceivedMs < settings.heartbeatTimeoutMs
            return connection.unresponsiveMs < maxOf(settings.heartbeatTimeoutMs / 2, settings.heartbeatIntervalMs * 3 / 2)
        }

    fun start() = connection.start()

    /** Sends a request, whose size the caller has checked; null if the session ended before the request was queued. */
    suspend fun open(request: Message): ClientExchange? {
        val exchange = ClientExchange(::abandon)
        exchange.id = nextId.incrementAndGet()
        if (exchanges.isEmpty()) connection.restartSilenceTimer()
        exchanges[exchange.id] = exchange
        try {
            if (connection.send(FrameCodec.encode(Frame.Request(exchange.id, request)))) return exchange
        } catch (cancelled: CancellationException) {
            exchange.close()
            throw cancelled
        }
        exchanges.remove(exchange.id)
        return null
    }

    /** Takes the session out of use and closes it once its exchanges have ended. */
    fun retire() {
        retired = true
        closeIfDrained()
    }

    fun close() = connection.close(CloseReason.CLOSED_HERE)

    override fun onFrame(frame: Frame): CloseReason? {
        when (frame) {
            is Frame.Reply -> deliver(frame)
            is Frame.End -> end(frame)
            is Frame.GoAway -> retire()
            is Frame.Heartbeat -> Unit
            is Frame.Request, is Frame.Abandon -> return CloseReason.FRAME_UNEXPECTED
        }
        return null
    }

    override fun onClosed(reason: CloseReason) {
        val lost = SessionError.Lost("the session ended (${reason.code}); retry if the request may be repeated")
        exchanges.values.forEach { it.fail(lost) }
        exchanges.clear()
        onSessionClosed(this)
    }

    private fun deliver(reply: Frame.Reply) {
        val exchange = exchanges[reply.exchange] ?: return counters.replyDropped()
        if (exchange.tryEnqueue(reply.message)) return
        counters.readerTooSlow()
        exchange.fail(SessionError.Lost("the reader did not keep up with the replies; read faster or request less"))
        abandon(exchange)
    }

    private fun end(end: Frame.End) {
        val exchange = exchanges.remove(end.exchange) ?: return
        if (end.completed) exchange.finish() else exchange.fail(SessionError.Lost("the peer failed to complete the exchange; see its log"))
        closeIfDrained()
    }

    private fun abandon(exchange: ClientExchange) {
        exchanges.remove(exchange.id) ?: return
        connection.enqueue(FrameCodec.encode(Frame.Abandon(exchange.id)))
        closeIfDrained()
    }

    private fun closeIfDrained() {
        if (retired && exchanges.isEmpty()) close()
    }
}
