package io.knapweedferry.session

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.message.Message
import io.ktor.network.selector.SelectorManager
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlinx.coroutines.SupervisorJob
import kotlinx.coroutines.cancel
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Pools one session per address and replaces it when it ends or the peer becomes unresponsive. */
internal class PooledSessionClient(
    private val settings: SessionSettings,
    counters: SessionCounters,
) : SessionClient {
    private val scope = CoroutineScope(SupervisorJob() + Dispatchers.Default)
    private val context = SessionContext(settings, counters, scope)
    private val selector = SelectorManager(Dispatchers.IO)
    private val connector = ClientConnector(settings, counters, selector)
    private val sessions = ConcurrentHashMap<String, PooledSession>()

    @Volatile
    private var closed = false

    override suspend fun open(
        address: String,
        request: Message,
    ): Either<SessionError, Exchange> {
        val sizeBytes = FrameCodec.encode(Frame.Request(Long.MAX_VALUE, request)).size
        if (sizeBytes > settings.maxFrameBytes) return tooLarge(sizeBytes).left()
        repeat(MAX_OPEN_ATTEMPTS) {
            val session = acquire(address).await().getOrElse { return it.left() }
            session.open(request)?.let { return it.right() }
        }
        return SessionError.NotConnected("sessions to $address are closed immediately; try another endpoint").left()
    }

    override fun close() {
        closed = true
        sessions.values.forEach {
            it.complete(closedError().left())
            it.session?.close()
        }
        scope.cancel()
        selector.close()
    }

    /** Returns the pooled session of [address]; concurrent callers share one connection attempt. */
    private fun acquire(address: String): PooledSession {
        var unusable: PooledSession? = null
        var created: PooledSession? = null
        val pooled =
            sessions.compute(address) { _, old ->
                if (old != null && old.isUsable) return@compute old
                unusable = old
                PooledSession().also { created = it }
            } ?: PooledSession()
        unusable?.session?.retire()
        created?.let { scope.launch { connect(address, it) } }
        if (closed) pooled.complete(closedError().left())
        return pooled
    }

    private suspend fun connect(
        address: String,
        pooled: PooledSession,
    ) {
        val channel =
            connector.connect(address).getOrElse {
                sessions.remove(address, pooled)
                pooled.complete(it.left())
                return
            }
        val session = ClientSession(channel, context) { sessions.remove(address, pooled) }
        session.start()
        if (!pooled.complete(session.right())) session.close()
    }

    private fun tooLarge(sizeBytes: Int) =
        SessionError.TooLarge("the request needs $sizeBytes bytes of ${settings.maxFrameBytes}; shorten it or raise max_frame_bytes")

    private fun closedError() = SessionError.NotConnected("the session client is closed; the process is stopping")

    companion object {
        /** A session can end between lookup and use; the second attempt gets a new one. */
        private const val MAX_OPEN_ATTEMPTS = 2
    }
}
