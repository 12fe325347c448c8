package io.knapweedferry.testing.adapter

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

/** HTTP server on a loopback port whose script writes each response byte for byte. */
internal class ScriptedServer(
    private val script: ScriptedExchange.() -> Unit,
) : AutoCloseable {
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val sockets = ConcurrentLinkedQueue<Socket>()
    private val received = AtomicInteger()

    val url: String = "http://127.0.0.1:${server.localPort}"

    init {
        thread(isDaemon = true) { ignoringClosedSockets { while (true) accept() } }
    }

    override fun close() {
        server.close()
        sockets.forEach { it.close() }
    }

    private fun accept() {
        val socket = server.accept()
        // Nagle's algorithm would delay the later parts of a response.
        socket.tcpNoDelay = true
        sockets += socket
        thread(isDaemon = true) { socket.use { ignoringClosedSockets { serve(it) } } }
    }

    private fun serve(socket: Socket) {
        val input = BufferedInputStream(socket.getInputStream())
        var requests = 0
        while (true) {
            val head = readHead(input) ?: return
            input.readNBytes(bodyLength(head))
            ScriptedExchange(received.incrementAndGet(), ++requests, socket).script()
        }
    }

    private fun readHead(input: InputStream): String? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val next = input.read()
            if (next < 0) return null
            head.append(next.toChar())
        }
        return head.toString()
    }

    private fun bodyLength(head: String): Int =
        head
            .lineSequence()
            .firstOrNull { it.startsWith("Content-Length:", ignoreCase = true) }
            ?.substringAfter(':')
            ?.trim()
            ?.toInt() ?: 0

    private fun ignoringClosedSockets(action: () -> Unit) =
        try {
            action()
        } catch (_: IOException) {
            // The client or the test closed the connection.
        }

    private companion object {
        const val BACKLOG = 50
    }
}
