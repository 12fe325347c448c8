package io.knapweedferry.telemetry

import io.knapweedferry.platform.PlatformError

/** Value of the metric label `error`, one for each type of [PlatformError]. */
internal enum class PlatformErrorKind {
    NOT_SENT,
    NO_ANSWER,
    REJECTED,
    BAD_ANSWER,
    ;

    companion object {
        fun of(error: PlatformError): PlatformErrorKind =
            when (error) {
                is PlatformError.NotSent -> NOT_SENT
                is PlatformError.NoAnswer -> NO_ANSWER
                is PlatformError.Rejected -> REJECTED
                is PlatformError.BadAnswer -> BAD_ANSWER
            }
    }
}
