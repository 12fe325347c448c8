package io.knapweedferry.it.streams

/** What a caller received for one [ChatJob], and how it ended. */
internal data class ChatResult(
    val end: End,
    val texts: List<String> = emptyList(),
    val lastEventId: String? = null,
    val detail: String = "",
) {
    /** How an exchange with an entry ended, as the caller sees it. */
    enum class End { WHOLE, PROBLEM, ERROR_EVENT, SILENT_CUT, CONNECTION_BROKEN, NOT_CONNECTED }

    val mayRetry: Boolean get() = end == End.NOT_CONNECTED || (end == End.PROBLEM && "\"outcome\":\"not_run\"" in detail)

    /** Why this is neither the whole answer nor a stated error, or null; [received] came on earlier connections. */
    fun fault(
        job: ChatJob,
        received: List<String> = emptyList(),
    ): String? {
        val all = received + texts
        return when {
            all != job.expected.take(all.size) -> "${job.requestId}: foreign or repeated tokens, $this"
            end == End.WHOLE && all.size != job.expected.size ->
                "${job.requestId}: ${all.size} of ${job.expected.size} tokens pass for whole"
            end == End.SILENT_CUT || end == End.CONNECTION_BROKEN -> "${job.requestId}: cut after ${all.size} tokens, $end $detail"
            else -> null
        }
    }
}
