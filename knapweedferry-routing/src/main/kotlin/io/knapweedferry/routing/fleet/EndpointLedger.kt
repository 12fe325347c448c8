package io.knapweedferry.routing.fleet

import io.knapweedferry.policy.routing.EndpointHealth
import io.knapweedferry.policy.routing.EndpointLoad
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** What this process has in progress at one endpoint, and how the endpoint did. Confined to the event loop. */
internal class EndpointLedger(
    private val timeSource: TimeSource,
) {
    val health = EndpointHealth(timeSource)
    private val open = LinkedHashSet<Entry>()

    /** Work of one attempt; ends when the attempt ends. */
    inner class Entry(
        private val kvTokens: Int,
        private var unreadTokens: Int,
        private val usualMs: Double,
    ) {
        private val started: TimeMark = timeSource.markNow()
        private var answered = false

        val elapsedMs: Long get() = started.elapsedNow().inWholeMilliseconds

        val load: EndpointLoad get() = EndpointLoad(1.0, kvTokens.toDouble(), unreadTokens.toDouble())

        val overdueMs: Long get() = if (answered) 0 else (elapsedMs - (usualMs * OVERDUE_FACTOR).toLong()).coerceAtLeast(0)

        /** The endpoint has read the prompt and produces the answer. */
        fun noteFirstAnswer() {
            if (answered) return
            answered = true
            unreadTokens = 0
            health.answered(elapsedMs, usualMs)
        }

        fun end() {
            open.remove(this)
        }
    }

    val load: EndpointLoad get() = open.fold(EndpointLoad.NONE) { sum, entry -> sum + entry.load }

    val overdueMs: Long get() = open.maxOfOrNull { it.overdueMs } ?: 0

    val isIdle: Boolean get() = open.isEmpty()

    fun begin(
        kvTokens: Int,
        unreadTokens: Int,
        usualMs: Double,
    ): Entry = Entry(kvTokens, unreadTokens, usualMs).also { open += it }

    private companion object {
        /** Answers within this multiple of the usual time are no sign of trouble. */
        const val OVERDUE_FACTOR = 3.0
    }
}
