package io.knapweedferry.entry.pipeline

/** Receives the tokens of an answer. Both functions throw [CallerDisconnectedException] if the caller has disconnected. */
internal interface AnswerSink {
    fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    )

    /** Sends a keep-alive, which also detects a disconnected caller while there are no tokens to send. */
    fun keepAlive()
}
