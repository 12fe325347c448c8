package io.knapweedferry.telemetry

import io.knapweedferry.platform.PlatformError

/** Value of the metric label `error`, one for each type of [PlatformError]. The names are exported and must not change. */
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
                is PlatformError.NoResponse -> NO_ANSWER
                is PlatformError.Rejected -> REJECTED
                is PlatformError.InvalidResponse -> BAD_ANSWER
            }
    }
}
