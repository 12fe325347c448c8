package io.knapweedferry.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.readAvailable
import java.io.IOException
import java.nio.ByteBuffer

/** Splits a byte stream into frames, each prefixed by its length as a 32-bit big-endian integer. */
internal class FrameReader(
    private val channel: ByteReadChannel,
    /** Called for every chunk received, so that a large frame on a slow link does not count as an unresponsive peer. */
    private val onBytes: () -> Unit = {},
) {
    private val header = ByteArray(HEADER_BYTES)

    suspend fun next(maxBytes: Int): Either<CloseReason, ByteArray> =
        try {
            readFrame(maxBytes)
        } catch (_: IOException) {
            CloseReason.IO_FAILED.left()
        }

    private suspend fun readFrame(maxBytes: Int): Either<CloseReason, ByteArray> {
        val bytesRead = fill(header)
        if (bytesRead == 0) return CloseReason.PEER_CLOSED.left()
        if (bytesRead < header.size) return CloseReason.FRAME_TRUNCATED.left()
        val length = ByteBuffer.wrap(header).getInt()
        if (length !in 1..maxBytes) return CloseReason.FRAME_TOO_LARGE.left()
        val frame = ByteArray(length)
        if (fill(frame) < length) return CloseReason.FRAME_TRUNCATED.left()
        return frame.right()
    }

    /** Fills [target]; returns the number of bytes read, less than its size at the end of the stream. */
    private suspend fun fill(target: ByteArray): Int {
        var filled = 0
        while (filled < target.size) {
            val count = channel.readAvailable(target, filled, target.size - filled)
            if (count < 0) return filled
            filled += count
            onBytes()
        }
        return filled
    }

    companion object {
        const val HEADER_BYTES = 4
    }
}
