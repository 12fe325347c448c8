package io.knapweedferry.session

import io.ktor.network.sockets.InetSocketAddress

/** Parses `ip:port`, with brackets around an IPv6 address; returns null if the text is invalid. */
internal object SocketAddressParser {
    private val ports = 0..0xffff

    fun parse(text: String): InetSocketAddress? {
        val host = text.substringBeforeLast(':', "").removeSurrounding("[", "]")
        val port = text.substringAfterLast(':').toIntOrNull()
        if (host.isEmpty() || port == null || port !in ports) return null
        return InetSocketAddress(host, port)
    }
}
