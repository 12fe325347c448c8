package io.knapweedferry.entry.pipeline

/** Where the tokens of an answer go; throws [CallerGoneException] when the caller cannot be reached any more. */
internal interface AnswerSink {
    fun tokens(
        attempt: Int,
        endpoint: String,
        position: Int,
        texts: List<String>,
    )

    /** Shows that the request is alive and notices a caller that went away while nothing flows. */
    fun keepAlive()
}
