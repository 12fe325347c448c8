package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.upstream.ResponseOrigin

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

    /** Origin of the last response that was not the own one. */
    val foreignOrigin: ResponseOrigin get() = ResponseOrigin.OTHER

    companion object {
        /** For requests whose response decides nothing. */
        val ANY = ResponseCheck { _, _ -> true }
    }
}
