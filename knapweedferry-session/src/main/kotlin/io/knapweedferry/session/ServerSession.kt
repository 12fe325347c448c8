package io.knapweedferry.session

import io.knapweedferry.api.ProcessId
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.update
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Server side of a session. */
internal class ServerSession(
    channel: FrameChannel,
    private val peer: ProcessId,
    private val context: SessionContext,
    private val handler: ExchangeHandler,
    private val activeExchanges: MutableStateFlow<Int>,
    private val onSessionClosed: (ServerSession) -> Unit,
) : FrameHandler {
    private val exchanges = ConcurrentHashMap<Long, ServerReplySink>()
    private val connection = Connection(channel, context, this)

    override val inFlight: Int get() = exchanges.size

    fun start() = connection.start()

    fun close() = connection.close(CloseReason.CLOSED_HERE)

    suspend fun awaitWritten() = connection.awaitWritten()

    /** Asks the client to close the session; only the client knows when none of its requests is in transit. */
    fun goAway() = connection.enqueue(FrameCodec.encode(Frame.GoAway))

    override fun onFrame(frame: Frame): CloseReason? {
        when (frame) {
            is Frame.Request -> return startExchange(frame)
            is Frame.Abandon -> exchanges.remove(frame.exchange)?.close()
            is Frame.Heartbeat -> Unit
            is Frame.Reply, is Frame.End, is Frame.GoAway -> return CloseReason.FRAME_UNEXPECTED
        }
        return null
    }

    override fun onClosed(reason: CloseReason) {
        exchanges.values.forEach { it.close() }
        exchanges.clear()
        onSessionClosed(this)
    }

    private fun startExchange(request: Frame.Request): CloseReason? {
        if (exchanges.size >= MAX_EXCHANGES) {
            connection.enqueue(FrameCodec.encode(Frame.End(request.exchange, completed = false)))
            return null
        }
        if (exchanges.isEmpty()) connection.restartSilenceTimer()
        val sink = ServerReplySink(request.exchange, connection, context.settings.maxFrameBytes)
        if (exchanges.putIfAbsent(request.exchange, sink) != null) return CloseReason.FRAME_UNEXPECTED
        if (!connection.isOpen) {
            // onClosed may have run before the exchange was added.
            exchanges.remove(request.exchange)
            return null
        }
        activeExchanges.update { it + 1 }
        context.scope.launch { handle(request, sink) }.invokeOnCompletion { activeExchanges.update { it - 1 } }
        return null
    }

    private suspend fun handle(
        request: Frame.Request,
        sink: ServerReplySink,
    ) {
        val failed = runCatching { handler.handle(peer, request.message, sink) }.isFailure || sink.replyTooLarge
        if (failed) context.counters.handlerFailed()
        val stillOpen = exchanges.containsKey(request.exchange)
        if (stillOpen) connection.send(FrameCodec.encode(Frame.End(request.exchange, completed = !failed)))
        exchanges.remove(request.exchange)
        sink.close()
    }

    companion object {
        /** Bounds the coroutines that one peer can start; further exchanges are ended at once. */
        private const val MAX_EXCHANGES = 8_192
    }
}
