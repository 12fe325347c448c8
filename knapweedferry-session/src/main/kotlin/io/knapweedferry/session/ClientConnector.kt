package io.knapweedferry.session

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.left
import arrow.core.right
import io.ktor.network.selector.SelectorManager
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.aSocket
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.withTimeoutOrNull
import java.io.IOException
import java.nio.channels.UnresolvedAddressException

/** Establishes authenticated connections. */
internal class ClientConnector(
    private val settings: SessionSettings,
    private val counters: SessionCounters,
    private val selector: SelectorManager,
) {
    private val handshake = ClientHandshake(settings)

    suspend fun connect(address: String): Either<SessionError, FrameChannel> {
        val target = SocketAddressParser.parse(address) ?: return SessionError.NotConnected("$address is not ip:port; correct it").left()
        val socket =
            withTimeoutOrNull(settings.connectTimeoutMs) {
                try {
                    aSocket(selector).tcp().connect(target) { noDelay = true }
                } catch (_: IOException) {
                    null
                } catch (_: UnresolvedAddressException) {
                    null
                }
            }
        if (socket == null) return SessionError.NotConnected("$address is unreachable; try another endpoint").left()
        return authenticate(socket, address)
    }

    private suspend fun authenticate(
        socket: Socket,
        address: String,
    ): Either<SessionError, FrameChannel> {
        val channel = FrameChannel(socket)
        try {
            withTimeoutOrNull(settings.connectTimeoutMs) { handshakeResult(channel) }
                .let { it ?: CloseReason.HANDSHAKE_TIMEOUT.left() }
                .getOrElse { reason ->
                    counters.sessionClosed(reason)
                    channel.close()
                    return describe(reason, address).left()
                }
        } catch (cancelled: CancellationException) {
            channel.close()
            throw cancelled
        }
        counters.sessionOpened()
        return channel.right()
    }

    private suspend fun handshakeResult(channel: FrameChannel) =
        try {
            handshake.run(channel)
        } catch (_: IOException) {
            CloseReason.IO_FAILED.left()
        }

    private fun describe(
        reason: CloseReason,
        address: String,
    ): SessionError {
        if (reason == CloseReason.NOT_AUTHENTICATED) {
            return SessionError.NotAuthenticated("$address uses another session key; configure the same key for both processes")
        }
        return SessionError.NotConnected("the handshake with $address failed (${reason.code}); check that both run the same release")
    }
}
