package io.knapweedferry.it.streams

/** Tokens received for one [ChatRequest] and how the exchange ended. */
internal data class ChatResult(
    val end: End,
    val texts: List<String> = emptyList(),
    val lastEventId: String? = null,
    val detail: String = "",
) {
    /**
     * End of an exchange as the client sees it. `SILENT_CUT` is a stream that ends without `[DONE]` and without an error event,
     * or that sends `[DONE]` after an error event.
     */
    enum class End { WHOLE, PROBLEM, ERROR_EVENT, SILENT_CUT, CONNECTION_BROKEN, NOT_CONNECTED }

    val isSafeToRetry: Boolean get() = end == End.NOT_CONNECTED || (end == End.PROBLEM && "\"outcome\":\"not_run\"" in detail)

    /**
     * Returns why the result is neither a complete answer nor an explicit error; null if it is one of them. [received] are the
     * tokens of earlier connections.
     */
    fun violation(
        chat: ChatRequest,
        received: List<String> = emptyList(),
    ): String? {
        val all = received + texts
        return when {
            all != chat.expected.take(all.size) -> "${chat.requestId}: unexpected or duplicate tokens, $this"
            end == End.WHOLE && all.size != chat.expected.size ->
                "${chat.requestId}: ${all.size} of ${chat.expected.size} tokens before [DONE]"
            end == End.SILENT_CUT || end == End.CONNECTION_BROKEN ->
                "${chat.requestId}: truncated without an error after ${all.size} tokens, $end $detail"
            else -> null
        }
    }
}
