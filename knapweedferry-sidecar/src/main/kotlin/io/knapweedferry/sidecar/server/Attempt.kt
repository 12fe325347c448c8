package io.knapweedferry.sidecar.server

/** One attempt of a request at an endpoint, with the resources held for it. */
internal interface Attempt {
    val key: AttemptKey

    /** Cancels the attempt and frees its resources; true if nothing had been submitted to the engine or service. */
    suspend fun cancel(): Boolean
}
