package io.knapweedferry.routing.pipeline

/**
 * Tells whether a response to a request of the entry's own can be the response to that request: it bears no id, and endpoints may
 * repeat earlier responses.
 */
internal fun interface ResponseCheck {
    /** [mayBeCopy] is false for the first response on a connection, which nothing can have preceded. */
    fun isOwn(
        response: BufferedResponse,
        mayBeCopy: Boolean,
    ): Boolean

    companion object {
        /** For requests whose response decides nothing. */
        val ANY = ResponseCheck { _, _ -> true }
    }
}
