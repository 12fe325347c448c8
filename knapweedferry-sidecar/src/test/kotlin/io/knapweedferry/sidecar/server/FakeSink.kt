package io.knapweedferry.sidecar.server

import io.knapweedferry.api.message.Message
import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.CompletableDeferred

/** Collects replies until [disconnect] is called. */
internal class FakeSink : ReplySink {
    val received = mutableListOf<Message>()
    private val closed = CompletableDeferred<Unit>()

    fun disconnect() {
        closed.complete(Unit)
    }

    override suspend fun send(message: Message): Boolean {
        if (closed.isCompleted) return false
        received += message
        return true
    }

    override suspend fun awaitClosed() = closed.await()
}
