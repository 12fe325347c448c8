package io.knapweedferry.routing.http

import io.knapweedferry.routing.call.UpstreamProtocol
import io.knapweedferry.routing.model.CallerLimits
import io.knapweedferry.routing.model.RoutingViewHolder
import io.knapweedferry.routing.pipeline.CallPipeline
import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent
import io.knapweedferry.telemetry.RoutingMetrics
import io.knapweedferry.telemetry.StalledCallerReason
import io.netty.bootstrap.ServerBootstrap
import io.netty.channel.ChannelInitializer
import io.netty.channel.ChannelOption
import io.netty.channel.EventLoopGroup
import io.netty.channel.WriteBufferWaterMark
import io.netty.channel.socket.SocketChannel
import kotlinx.coroutines.CoroutineScope
import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

/** Accepts connections of callers. They all share one event loop, which also owns the state of the endpoints. */
internal class CallerListener(
    private val group: EventLoopGroup,
    private val scope: CoroutineScope,
    private val pipeline: CallPipeline,
    private val protocol: UpstreamProtocol,
    private val views: RoutingViewHolder,
    private val events: EventLog,
    private val metrics: RoutingMetrics,
) : CallerConnectionObserver {
    private val connections = LinkedHashSet<CallerConnection>()
    private val bodyMemory = BodyMemoryLimit(MAX_BODY_MEMORY_BYTES)
    private var server: CallerServerChannel? = null

    @Volatile
    private var isStopping = false

    /** Number of connections with a request in progress or on its way. Must be read on the event loop. */
    val connectionsInUse: Int get() = connections.count { it.isInUse }

    fun start(address: InetSocketAddress) {
        val bootstrap =
            ServerBootstrap()
                .group(group)
                .channel(CallerServerChannel::class.java)
                .option(ChannelOption.SO_BACKLOG, BACKLOG)
                .option(ChannelOption.SO_REUSEADDR, true)
                .childOption(ChannelOption.TCP_NODELAY, true)
                .childOption(ChannelOption.RECVBUF_ALLOCATOR, ReadQuota.allocator())
                .childOption(ChannelOption.SO_SNDBUF, SEND_BUFFER_BYTES)
                .childOption(ChannelOption.WRITE_BUFFER_WATER_MARK, WriteBufferWaterMark(LOW_WATER_MARK_BYTES, HIGH_WATER_MARK_BYTES))
                .childHandler(
                    object : ChannelInitializer<SocketChannel>() {
                        override fun initChannel(channel: SocketChannel) = accept(channel)
                    },
                )
        server = bootstrap.bind(address).sync().channel() as CallerServerChannel
        group.next().scheduleWithFixedDelay(
            ::checkConnections,
            TIMEOUT_CHECK_MS,
            TIMEOUT_CHECK_MS,
            TimeUnit.MILLISECONDS,
        )
    }

    private fun checkConnections() {
        connections.toList().forEach { it.checkTimeouts() }
        onUnread()
    }

    private fun accept(channel: SocketChannel) {
        val limits = views.current.table?.limits ?: CallerLimits.DEFAULT
        val connection = CallerConnection(scope, pipeline, protocol, limits, bodyMemory, { isStopping }, this)
        channel.pipeline().addLast(RequestDecoder(limits.maxHeaderBytes), CallerResponseEncoder(), connection)
    }

    /** From now on every response closes its connection, so that callers reconnect elsewhere; requests are still served. */
    fun beginStopping() {
        isStopping = true
    }

    /** Closes idle connections. Must be called on the event loop. */
    fun closeIdle() {
        connections.toList().forEach { it.closeIfIdle() }
    }

    /** Stops accepting connections; those in the queue are still served. Must be called on the event loop. */
    suspend fun stopAccepting() {
        server?.acceptQueuedAndClose()
    }

    override fun onOpened(connection: CallerConnection) {
        connections += connection
        metrics.setCallerConnections(connections.size)
    }

    override fun onClosed(connection: CallerConnection) {
        connections -= connection
        metrics.setCallerConnections(connections.size)
    }

    override fun onRefused(
        response: LocalResponse,
        detail: String,
    ) {
        metrics.countRefused(response.reason)
        events.write(LogEvent.ROUTED_MALFORMED, "status" to response.status, "reason" to response.reason, "detail" to detail)
    }

    /** Closes the connections whose callers have not read for longest until the others fit into the limit. */
    override fun onUnread() {
        var totalBytes = connections.sumOf { it.unreadBytes }
        metrics.setUnreadCallerBytes(totalBytes)
        if (totalBytes <= MAX_UNREAD_BYTES) return
        for (connection in connections.filter { it.unreadBytes > 0 }.sortedByDescending { it.stalledMs }) {
            if (totalBytes <= MAX_UNREAD_BYTES) return
            totalBytes -= connection.unreadBytes
            connection.closeStalled(StalledCallerReason.MEMORY)
        }
    }

    override fun onStalled(
        reason: StalledCallerReason,
        unreadBytes: Long,
        stalledMs: Long,
    ) {
        metrics.countStalledCaller(reason)
        events.write(LogEvent.SLOW_CALLER_CLOSED, "reason" to reason.label, "unread_bytes" to unreadBytes, "stalled_ms" to stalledMs)
    }

    override fun onFailed(cause: Throwable) {
        events.write(LogEvent.CALLER_CONNECTION_FAILED, "detail" to cause.toString())
    }

    private companion object {
        /** More than a link of 140 Mbit/s carries within a round trip between zones; limits what the kernel holds for each caller. */
        const val SEND_BUFFER_BYTES = 64 * 1024

        /** The marks are close to each other, so that the endpoint is read from again soon after a slow caller has read a little. */
        const val LOW_WATER_MARK_BYTES = 24 * 1024
        const val HIGH_WATER_MARK_BYTES = 32 * 1024

        /** An eighth of the heap. Callers that read take their responses within milliseconds. */
        const val MAX_UNREAD_BYTES = 12L * 1024 * 1024

        const val BACKLOG = 1_024
        const val TIMEOUT_CHECK_MS = 250L

        /** A small part of the smallest instance's memory; typical bodies have a few KB, the largest 4 MB. */
        const val MAX_BODY_MEMORY_BYTES = 24L * 1024 * 1024
    }
}
