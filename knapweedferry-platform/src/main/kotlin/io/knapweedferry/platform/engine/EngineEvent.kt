package io.knapweedferry.platform.engine

import io.knapweedferry.platform.PlatformError

/** Event of a token stream from [Engine.generate]. */
public sealed interface EngineEvent {
    /** A generated token. */
    public data class Token(
        val position: Int,
        val text: String,
    ) : EngineEvent

    /** The response is complete. [tokenCount] includes tokens before the position at which this stream started. */
    public data class Finished(
        val tokenCount: Int,
        val finishReason: String,
    ) : EngineEvent

    /** The stream ended before the response was complete. */
    public data class Broken(
        val error: PlatformError,
    ) : EngineEvent
}
