package io.knapweedferry.platform.engine

import io.knapweedferry.platform.PlatformError

/** What a generating engine reports. */
public sealed interface EngineEvent {
    /** One token. */
    public data class Token(
        val position: Int,
        val text: String,
    ) : EngineEvent

    /** The answer is whole; [tokenCount] counts from position 0. */
    public data class Finished(
        val tokenCount: Int,
        val finishReason: String,
    ) : EngineEvent

    /** The stream ended before the answer was whole. */
    public data class Broken(
        val error: PlatformError,
    ) : EngineEvent
}
