package io.knapweedferry.platform.engine

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One line of the answer to `POST /generate`. */
@Serializable
public sealed interface GenerateLine {
    /** One token. */
    @Serializable
    @SerialName("token")
    public data class Token(
        val position: Int,
        val text: String,
    ) : GenerateLine

    /** Last line of a whole answer. */
    @Serializable
    @SerialName("finished")
    public data class Finished(
        val tokenCount: Int,
        val finishReason: String,
    ) : GenerateLine

    /** Last line of an answer that the engine gave up. */
    @Serializable
    @SerialName("failed")
    public data class Failed(
        val code: String,
        val message: String,
    ) : GenerateLine
}
