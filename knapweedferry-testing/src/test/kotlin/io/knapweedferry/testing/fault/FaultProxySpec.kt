package io.knapweedferry.testing.fault

import kotlinx.coroutines.runBlocking
import kotlinx.serialization.json.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.net.ConnectException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread
import kotlin.time.TimeSource

/** Guards against a proxy that corrupts traffic without faults, or whose faults are incomplete. */
internal class FaultProxySpec {
    private val loopback = InetAddress.getLoopbackAddress()
    private val echo = ServerSocket(0, 50, loopback)
    private val proxy =
        FaultProxy(
            listOf(RouteSettings.parse("echo=127.0.0.1:0=127.0.0.1:${echo.localPort}")),
            adminHost = "127.0.0.1",
            adminPort = 0,
            seed = 7,
        )
    private val http = OkHttpClient()

    init {
        thread(isDaemon = true) { serveEcho() }
        runBlocking { proxy.start() }
    }

    @AfterEach
    fun close() {
        proxy.close()
        echo.close()
        http.dispatcher.executorService.shutdown()
        http.connectionPool.evictAll()
    }

    @Test
    fun `forwards all bytes unchanged, then the end of the stream`() {
        val sent = ByteArray(1_000_000) { (it * 31).toByte() }
        connect().use { socket ->
            val writer =
                thread {
                    socket.getOutputStream().write(sent)
                    socket.shutdownOutput()
                }
            assertTrue(sent.contentEquals(socket.getInputStream().readBytes()))
            writer.join()
        }
    }

    @ParameterizedTest
    @CsvSource("BOTH, 1", "TO_TARGET, 1", "TO_CLIENT, 1")
    fun `a silenced connection never recovers, while new connections work`(
        direction: String,
        silent: Int,
    ) {
        val oldConnection = connect()
        assertEquals('a', echo(oldConnection, 'a'))
        assertEquals(silent, postFault("silence", """{"direction":"$direction"}""").silentConnections)
        assertThrows(SocketTimeoutException::class.java) { echo(oldConnection, 'b') }
        postFault("heal")
        assertThrows(SocketTimeoutException::class.java) { echo(oldConnection, 'c') }
        connect().use { assertEquals('d', echo(it, 'd')) }
        oldConnection.close()
    }

    @Test
    fun `new connections are silent until the route is healed`() {
        postFault("silence", """{"existing":false,"new":true}""")
        connect().use { socket -> assertThrows(SocketTimeoutException::class.java) { echo(socket, 'a') } }
        postFault("heal")
        connect().use { assertEquals('b', echo(it, 'b')) }
    }

    @Test
    fun `a silence with a fraction affects only that share of the open connections`() {
        val sockets = List(40) { connect().also { socket -> echo(socket, 'a') } }
        val silent = postFault("silence", """{"fraction":0.5}""").silentConnections
        assertTrue(silent in 10..30, "$silent of 40")
        sockets.forEach(Socket::close)
    }

    @Test
    fun `a cut closes open connections and refuses new ones until the route is healed`() {
        val oldConnection = connect()
        echo(oldConnection, 'a')
        postFault("cut")
        assertTrue(runCatching { echo(oldConnection, 'b') }.exceptionOrNull() !is SocketTimeoutException)
        assertThrows(ConnectException::class.java) { connect() }
        postFault("heal")
        connect().use { assertEquals('c', echo(it, 'c')) }
    }

    @Test
    fun `a delay applies to both directions`() {
        connect().use { socket ->
            echo(socket, 'a')
            postFault("delay", """{"ms":100,"jitterMs":20}""")
            val start = TimeSource.Monotonic.markNow()
            assertEquals('b', echo(socket, 'b'))
            assertTrue(start.elapsedNow().inWholeMilliseconds >= 200)
        }
    }

    private fun connect() = Socket(loopback, proxy.port("echo")).apply { soTimeout = 400 }

    private fun echo(
        socket: Socket,
        char: Char,
    ): Char {
        socket.getOutputStream().write(char.code)
        return socket
            .getInputStream()
            .read()
            .also { check(it >= 0) { "connection ended" } }
            .toChar()
    }

    private fun postFault(
        name: String,
        body: String = "",
    ): RouteStatus {
        val url = "http://127.0.0.1:${proxy.adminPort}/admin/routes/echo/$name"
        return http
            .newCall(
                Request
                    .Builder()
                    .url(url)
                    .post(body.toRequestBody())
                    .build(),
            ).execute()
            .use {
                check(it.isSuccessful) { "status ${it.code}" }
                Json.decodeFromString(it.body.string())
            }
    }

    private fun serveEcho() {
        while (!echo.isClosed) {
            val socket = runCatching { echo.accept() }.getOrNull() ?: return
            thread(isDaemon = true) {
                socket.use { runCatching { it.getInputStream().copyTo(it.getOutputStream()) } }
            }
        }
    }
}
