package io.knapweedferry.sidecar.server

/** Something that an endpoint holds for one attempt of a request. */
internal interface Attempt {
    val key: AttemptKey

    /** Frees all that is held; true if nothing had been submitted to the endpoint. */
    suspend fun cancel(): Boolean
}
