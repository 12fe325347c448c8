package io.knapweedferry.testing.standin.http

/** Ends a call with an error answer. */
internal class StandInFailure(
    val status: Int,
    val code: String,
    override val message: String,
) : RuntimeException(message) {
    companion object {
        private const val SERVICE_UNAVAILABLE = 503
        private const val NOT_FOUND = 404

        /** The call had no effect. */
        fun notDone(message: String) = StandInFailure(SERVICE_UNAVAILABLE, "not_done", message)

        fun notFound(message: String) = StandInFailure(NOT_FOUND, "not_found", message)
    }
}
