package io.knapweedferry.testing.standin.http

import kotlinx.coroutines.delay
import kotlinx.serialization.Serializable

/** How a stand-in treats new calls. */
@Serializable
internal enum class Outage {
    NONE,

    /** Answers at once that nothing was done. */
    REFUSE,

    /** Answers status 500 without any effect; the caller cannot know that. */
    ERROR,

    /** Reads the call, has no effect and never answers. */
    SILENT,

    /** Closes the connection without an effect. */
    CUT,
    ;

    suspend fun apply() {
        val failure =
            when (this) {
                NONE -> return
                REFUSE -> StandInFailure.notDone("outage")
                ERROR -> StandInFailure(INTERNAL_ERROR, "internal", "outage")
                SILENT -> silence()
                CUT -> LostAnswer()
            }
        throw failure
    }

    companion object {
        private const val INTERNAL_ERROR = 500

        // Callers give up much earlier; the bound only frees the connection in the end.
        private const val SILENCE_MS = 300_000L

        /** Holds a call without an answer. */
        suspend fun silence(): Nothing {
            delay(SILENCE_MS)
            throw LostAnswer()
        }
    }
}
