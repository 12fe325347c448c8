package io.knapweedferry.session

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Records counted events, so that a test can await them. */
internal class RecordedCounters : SessionCounters {
    private val events = MutableStateFlow(emptyList<String>())

    override fun sessionOpened() = add("opened")

    override fun sessionClosed(reason: CloseReason) = add(reason.code)

    override fun replyDropped() = add("reply_dropped")

    override fun readerTooSlow() = add("reader_too_slow")

    override fun handlerFailed() = add("handler_failed")

    suspend fun await(event: String) {
        events.first { event in it }
    }

    fun count(event: String): Int = events.value.count { it == event }

    private fun add(event: String) = events.update { it + event }
}
