package io.knapweedferry.testing.standin.http

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable

/** Injected fault of a stand-in that affects new requests. */
@Serializable
internal enum class Outage {
    NONE,

    /** Responds immediately that the request was not executed. */
    REFUSE,

    /** Responds with status 500. The request has no effect, but the caller cannot tell. */
    ERROR,

    /** Reads the request, but neither executes it nor responds. */
    SILENT,

    /** Closes the connection without executing the request. */
    CUT,
    ;

    /** Returns if no fault is injected; otherwise fails the request or leaves it without a response. */
    suspend fun apply() {
        val failure =
            when (this) {
                NONE -> return
                REFUSE -> ErrorResponseException.notExecuted("outage")
                ERROR -> ErrorResponseException(INTERNAL_ERROR, "internal", "outage")
                SILENT -> hang()
                CUT -> DroppedConnectionException()
            }
        throw failure
    }

    companion object {
        private const val INTERNAL_ERROR = 500

        // Callers time out much earlier; the limit only ensures that the connection is closed eventually.
        private const val MAX_HANG_MS = 300_000L

        /** Leaves a request without a response, then closes its connection. */
        suspend fun hang(): Nothing {
            delay(MAX_HANG_MS)
            throw DroppedConnectionException()
        }
    }
}
