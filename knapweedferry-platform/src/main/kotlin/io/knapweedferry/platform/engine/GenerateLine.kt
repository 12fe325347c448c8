package io.knapweedferry.platform.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** A line of the response to `POST /generate`. */
@Serializable
public sealed interface GenerateLine {
    /** A generated token. */
    @Serializable
    @SerialName("token")
    public data class Token(
        val position: Int,
        val text: String,
    ) : GenerateLine

    /** Last line of a complete response. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val tokenCount: Int,
        val finishReason: String,
    ) : GenerateLine

    /** Last line of a response that the engine aborted. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val code: String,
        val message: String,
    ) : GenerateLine
}
