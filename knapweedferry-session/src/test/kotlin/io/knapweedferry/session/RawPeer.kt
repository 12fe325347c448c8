package io.knapweedferry.session

import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.InetSocketAddress
import io.ktor.network.sockets.ServerSocket
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.Dispatchers

/** Plain TCP peer with which a test can violate the protocol. */
internal class RawPeer : AutoCloseable {
    private val selector = SelectorManager(Dispatchers.IO)

    suspend fun connect(port: Int): Socket = aSocket(selector).tcp().connect(InetSocketAddress("127.0.0.1", port))

    suspend fun listen(): ServerSocket = aSocket(selector).tcp().bind(InetSocketAddress("127.0.0.1", 0))

    override fun close() = selector.close()
}
