package io.knapweedferry.routing.http

import io.netty.channel.socket.nio.NioServerSocketChannel
import kotlinx.coroutines.delay

/**
 * Listening channel that accepts the connections in its queue before it closes. The JDK closes a socket that is registered with
 * a selector only at a later select, and the operating system goes on accepting connections until then, which are reset at the
 * end. So the channel leaves the selector first. Confined to the event loop.
 */
internal class CallerServerChannel : NioServerSocketChannel() {
    /** Accepts all connections in the queue and closes the channel; returns once the operating system accepts no more. */
    suspend fun acceptQueuedAndClose() {
        deregister()
        while (javaChannel().isRegistered) delay(SELECT_INTERVAL_MS)
        while (acceptQueued()) Unit
        pipeline().fireChannelReadComplete()
        close()
    }

    /** Returns false if the queue is empty. */
    private fun acceptQueued(): Boolean {
        val accepted = ArrayList<Any>()
        doReadMessages(accepted)
        accepted.forEach { pipeline().fireChannelRead(it) }
        return accepted.isNotEmpty()
    }

    private companion object {
        /** The event loop selects at least once between two tasks that are scheduled one after the other. */
        const val SELECT_INTERVAL_MS = 1L
    }
}
