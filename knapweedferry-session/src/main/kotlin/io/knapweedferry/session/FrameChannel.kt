package io.knapweedferry.session

import arrow.core.Either
import arrow.core.flatMap
import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Reads and writes frames on a TCP connection. */
internal class FrameChannel(
    input: ByteReadChannel,
    output: ByteWriteChannel,
    private val onClose: () -> Unit,
) : AutoCloseable {
    constructor(socket: Socket) : this(socket.openReadChannel(), socket.openWriteChannel(), socket::close)

    /** Time of the last bytes from the peer, including parts of a frame. */
    @Volatile
    var lastReceivedAt: TimeMark = TimeSource.Monotonic.markNow()
        private set

    private val reader = FrameReader(input) { lastReceivedAt = TimeSource.Monotonic.markNow() }
    private val writer = FrameWriter(output)

    suspend fun read(maxBytes: Int): Either<CloseReason, Frame> = reader.next(maxBytes).flatMap(FrameCodec::decode)

    suspend fun readHandshake(): Either<CloseReason, HandshakeFrame> = reader.next(MAX_HANDSHAKE_BYTES).flatMap(FrameCodec::decodeHandshake)

    suspend fun write(frame: ByteArray) = writer.write(frame)

    suspend fun flush() = writer.flush()

    suspend fun send(frame: HandshakeFrame) {
        write(FrameCodec.encode(frame))
        flush()
    }

    override fun close() = onClose()

    companion object {
        /** Bounds the memory that an unauthenticated peer can make this process allocate. */
        private const val MAX_HANDSHAKE_BYTES = 1_024
    }
}
