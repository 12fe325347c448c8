package io.knapweedferry.routing.upstream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.EndpointId
import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.fleet.EndpointAvailability
import io.knapweedferry.routing.fleet.SurplusResponses
import io.knapweedferry.routing.http.ReadQuota
import io.knapweedferry.routing.model.RoutedEndpoint
import io.netty.bootstrap.Bootstrap
import io.netty.channel.Channel
import io.netty.channel.ChannelFuture
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.socket.SocketChannel
import io.netty.channel.socket.nio.NioChannelOption
import io.netty.channel.socket.nio.NioSocketChannel
import io.netty.handler.codec.http.HttpRequestEncoder
import io.netty.handler.codec.http.HttpResponse
import jdk.net.ExtendedSocketOptions
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlin.coroutines.resume
import kotlin.time.TimeSource

/** Pool of persistent connections to endpoints. Confined to the single event loop of the group. */
internal class EndpointPool(
    group: EventLoopGroup,
    private val protocol: UpstreamProtocol,
    private val availability: EndpointAvailability,
    private val surplusResponses: SurplusResponses,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : EndpointConnectionObserver {
    private val idle = HashMap<EndpointId, ArrayDeque<EndpointConnection>>()

    private val unreadMemory = UnreadMemory(MAX_UNREAD_BYTES)

    /** Called with each response to a request of the entry's own that nobody waits for any more. */
    var unclaimedListener: (UnclaimedResponse) -> Unit = {}
    private val bootstrap =
        Bootstrap()
            .group(group)
            .channel(NioSocketChannel::class.java)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MS)
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.RECVBUF_ALLOCATOR, ReadQuota.allocator())
            .option(ChannelOption.SO_KEEPALIVE, true)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPIDLE), KEEPALIVE_IDLE_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPINTERVAL), KEEPALIVE_INTERVAL_S)
            .option(NioChannelOption.of(ExtendedSocketOptions.TCP_KEEPCOUNT), KEEPALIVE_PROBES)

    /** False if a request to [endpoint] other than the entry's own needs a new connection. */
    fun permitsReuse(endpoint: EndpointId): Boolean = surplusResponses.permitsReuse(endpoint)

    /** Returns a pooled connection that was idle for [maxIdleMs] at most, or a new one; always a new one if [maxIdleMs] is null. */
    suspend fun acquire(
        endpoint: RoutedEndpoint,
        maxIdleMs: Long?,
    ): Either<AttemptFailure.NotSent, EndpointConnection> = maxIdleMs?.let { takeIdle(endpoint, it) }?.right() ?: connect(endpoint)

    /** Drops idle connections to, and state of, endpoints that are no longer known. */
    fun retain(known: Set<EndpointId>) {
        (idle.keys - known).forEach(::closeIdle)
        surplusResponses.retain(known)
    }

    private fun closeIdle(id: EndpointId) {
        idle.remove(id)?.toList()?.forEach { it.close() }
    }

    private fun takeIdle(
        endpoint: RoutedEndpoint,
        maxIdleMs: Long,
    ): EndpointConnection? {
        val idleConnections = idle[endpoint.id] ?: return null
        // The last one was used most recently, so it is the most likely to be still open.
        for (connection in idleConnections.reversed()) {
            if (connection.isResting) continue
            if (connection.isUsable && connection.endpoint.incarnation == endpoint.incarnation) {
                if (connection.idleMs > maxIdleMs) return null
                idleConnections.remove(connection)
                return connection
            }
            idleConnections.remove(connection)
            connection.close()
        }
        return null
    }

    private suspend fun connect(endpoint: RoutedEndpoint): Either<AttemptFailure.NotSent, EndpointConnection> {
        val readLimit = ReadLimit()
        val decoder = EndpointResponseDecoder(ResponseAttribution(protocol))
        val embeddedResponses = EmbeddedResponseScan(protocol.endpointHeaders)
        val connection = EndpointConnection(endpoint, decoder, embeddedResponses, readLimit, unreadMemory, timeSource, this)
        val connecting =
            bootstrap
                .clone()
                .handler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) {
                            channel.pipeline().addLast(HttpRequestEncoder(), readLimit, decoder, connection)
                        }
                    },
                ).connect(endpoint.address)
        val failure = connecting.awaitConnected()
        return if (failure == null) connection.right() else AttemptFailure.NotSent("no connection: ${failure.message}").left()
    }

    private suspend fun ChannelFuture.awaitConnected(): Throwable? =
        suspendCancellableCoroutine { continuation ->
            addListener { if (continuation.isActive) continuation.resume(it.cause()) }
            continuation.invokeOnCancellation { closeChannel(channel()) }
        }

    private fun closeChannel(channel: Channel) {
        channel.close()
    }

    override fun onHead(
        connection: EndpointConnection,
        response: HttpResponse,
    ) {
        val status = response.status().code()
        // Another endpoint that has taken over the address speaks for itself.
        if (protocol.isWrongEndpoint(status, response.headers())) return
        availability.record(connection.endpoint, status, protocol.readNotice(status, response.headers()))
    }

    override fun onSurplus(
        connection: EndpointConnection,
        surplus: SurplusResponse,
    ) {
        surplusResponses.record(connection.endpoint, surplus)
        if (!surplusResponses.permitsReuse(connection.endpoint.id)) closeIdle(connection.endpoint.id)
    }

    override fun hasRepeatedResponses(connection: EndpointConnection) = surplusResponses.isRecent(connection.endpoint.id)

    override fun onUnclaimed(response: UnclaimedResponse) = unclaimedListener(response)

    override fun onReusable(connection: EndpointConnection) {
        if (!connection.isForControl && !surplusResponses.permitsReuse(connection.endpoint.id)) return connection.close()
        val idleConnections = idle.getOrPut(connection.endpoint.id) { ArrayDeque() }
        if (idleConnections.size >= MAX_IDLE_CONNECTIONS_PER_ENDPOINT) return connection.close()
        idleConnections.addLast(connection)
    }

    override fun onClosed(connection: EndpointConnection) {
        idle[connection.endpoint.id]?.remove(connection)
    }

    private companion object {
        /** Limits what the kernel holds for callers that lag behind; more than a link carries within a round trip between zones. */
        const val RECEIVE_BUFFER_BYTES = 128 * 1024

        /** A twelfth of the heap; a typical stream has a few KB, so only streams whose callers lag behind hold more. */
        const val MAX_UNREAD_BYTES = 8 * 1024 * 1024

        /**
         * What the kernel holds counts as written; with a small buffer, a connection that ends during an upload fails its request. It
         * also limits what the kernel holds for endpoints that read slowly.
         */
        const val SEND_BUFFER_BYTES = 64 * 1024

        /** A reachable endpoint accepts within a few ms; a lost SYN would be retransmitted only after 1 s. */
        const val CONNECT_TIMEOUT_MS = 400

        /** An endpoint accepts a few hundred connections in total from all entries. */
        const val MAX_IDLE_CONNECTIONS_PER_ENDPOINT = 12

        // A dead connection is detected after idle + interval * probes = 3 s.
        const val KEEPALIVE_IDLE_S = 1
        const val KEEPALIVE_INTERVAL_S = 1
        const val KEEPALIVE_PROBES = 2
    }
}
