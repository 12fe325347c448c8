package io.knapweedferry.entry.http

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One event of a streamed chat completion. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ChatChunk(
    val id: String,
    @EncodeDefault val `object`: String = "chat.completion.chunk",
    val created: Long,
    val model: String,
    val choices: List<Choice>,
) {
    @Serializable
    internal data class Choice(
        val index: Int,
        val delta: Delta,
        @SerialName("finish_reason") val finishReason: String?,
    )

    @Serializable
    internal data class Delta(
        val content: String? = null,
    )
}
