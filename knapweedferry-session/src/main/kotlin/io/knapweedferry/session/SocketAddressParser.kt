package io.knapweedferry.session

import io.ktor.network.sockets.InetSocketAddress

/** Reads addresses written as ip:port, with brackets around IPv6 addresses. */
internal object SocketAddressParser {
    private val ports = 0..0xffff

    fun parse(text: String): InetSocketAddress? {
        val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
        val port = text.substringAfterLast(':').toIntOrNull()
        if (host.isEmpty() || port == null || port !in ports) return null
        return InetSocketAddress(host, port)
    }
}
