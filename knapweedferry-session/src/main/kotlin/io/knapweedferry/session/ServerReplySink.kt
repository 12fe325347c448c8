package io.knapweedferry.session

import io.knapweedferry.api.message.Message
import kotlinx.coroutines.CompletableDeferred

/** Sends the replies of one exchange on the server side. */
internal class ServerReplySink(
    private val exchange: Long,
    private val connection: Connection,
    private val maxFrameBytes: Int,
) : ReplySink {
    private val closed = CompletableDeferred<Unit>()

    /** True if a reply exceeded the frame size limit, which ends the exchange as failed. */
    @Volatile
    var replyTooLarge: Boolean = false
        private set

    override suspend fun send(message: Message): Boolean {
        if (closed.isCompleted) return false
        val frame = FrameCodec.encode(Frame.Reply(exchange, message))
        if (frame.size > maxFrameBytes) {
            replyTooLarge = true
            close()
            return false
        }
        return connection.send(frame) && !closed.isCompleted
    }

    override suspend fun awaitClosed(): Unit = closed.await()

    fun close() {
        closed.complete(Unit)
    }
}
