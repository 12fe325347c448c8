package io.knapweedferry.session

import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.writeFully
import java.nio.ByteBuffer

/** Writes frames, each prefixed by its length as a 32-bit big-endian integer. */
internal class FrameWriter(
    private val channel: ByteWriteChannel,
) {
    /** Writes one frame to the buffer of the channel; call [flush] to send it. */
    suspend fun write(frame: ByteArray) {
        channel.writeFully(ByteBuffer.allocate(FrameReader.HEADER_BYTES).putInt(frame.size).array())
        channel.writeFully(frame)
    }

    suspend fun flush() = channel.flush()
}
