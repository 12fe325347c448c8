package io.knapweedferry.testing.fault

import io.ktor.network.sockets.Socket
import io.ktor.network.sockets.openReadChannel
import io.ktor.network.sockets.openWriteChannel
import io.ktor.utils.io.ByteReadChannel
import io.ktor.utils.io.ByteWriteChannel
import io.ktor.utils.io.readAvailable
import io.ktor.utils.io.writeFully
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.io.IOException
import kotlin.time.Duration
import kotlin.time.TimeSource

/** Client connection and the corresponding connection to the target. */
internal class ProxiedConnection(
    private val client: Socket,
    private val target: Socket,
    private val counters: RouteCounters,
    private val delayOf: (Direction) -> Duration,
) {
    @Volatile
    private var silentToTarget = false

    @Volatile
    private var silentToClient = false

    val isSilent: Boolean get() = silentToTarget || silentToClient

    /** Forwards bytes until both directions have ended. */
    suspend fun run() {
        try {
            coroutineScope {
                launch { forward(client.openReadChannel(), target.openWriteChannel(), Direction.TO_TARGET) }
                launch { forward(target.openReadChannel(), client.openWriteChannel(), Direction.TO_CLIENT) }
            }
        } finally {
            close()
        }
    }

    fun silence(direction: Direction) {
        if (direction.covers(Direction.TO_TARGET)) silentToTarget = true
        if (direction.covers(Direction.TO_CLIENT)) silentToClient = true
    }

    fun close() {
        client.close()
        target.close()
    }

    private fun isSilent(direction: Direction) = if (direction == Direction.TO_TARGET) silentToTarget else silentToClient

    private suspend fun forward(
        from: ByteReadChannel,
        to: ByteWriteChannel,
        direction: Direction,
    ) = coroutineScope {
        // Bounded, so that a slow reader causes backpressure on the sender as it would without the proxy.
        val chunks = Channel<Chunk>(MAX_CHUNKS)
        launch { closeOnIoError(direction) { deliver(chunks, to, direction) } }
        closeOnIoError(direction) { receive(from, chunks, direction) }
        chunks.close()
    }

    private suspend fun receive(
        from: ByteReadChannel,
        chunks: Channel<Chunk>,
        direction: Direction,
    ) {
        while (true) {
            val bytes = ByteArray(CHUNK_BYTES)
            val size = from.readAvailable(bytes)
            if (size < 0) return
            chunks.send(Chunk(bytes, size, TimeSource.Monotonic.markNow() + delayOf(direction)))
        }
    }

    private suspend fun deliver(
        chunks: Channel<Chunk>,
        to: ByteWriteChannel,
        direction: Direction,
    ) {
        for (chunk in chunks) {
            delay(-chunk.deliverAt.elapsedNow())
            if (isSilent(direction)) {
                counters.discardedBytes.addAndGet(chunk.size.toLong())
                continue
            }
            to.writeFully(chunk.bytes, 0, chunk.size)
            to.flush()
            counters.deliveredBytes.addAndGet(chunk.size.toLong())
        }
        if (!isSilent(direction)) to.flushAndClose()
    }

    /** Closes both connections if either breaks, unless the direction is silent. */
    private suspend fun closeOnIoError(
        direction: Direction,
        block: suspend () -> Unit,
    ) {
        try {
            block()
        } catch (_: IOException) {
            if (!isSilent(direction)) close()
        }
    }

    private companion object {
        const val CHUNK_BYTES = 16 * 1024
        const val MAX_CHUNKS = 64
    }
}
