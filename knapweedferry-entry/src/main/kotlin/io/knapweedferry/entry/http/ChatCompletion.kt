package io.knapweedferry.entry.http

import kotlinx.serialization.EncodeDefault
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Body of a chat completion that is not streamed. */
@OptIn(ExperimentalSerializationApi::class)
@Serializable
internal data class ChatCompletion(
    val id: String,
    @EncodeDefault val `object`: String = "chat.completion",
    val created: Long,
    val model: String,
    val choices: List<Choice>,
    val usage: Usage,
) {
    @Serializable
    internal data class Choice(
        val index: Int,
        val message: Message,
        @SerialName("finish_reason") val finishReason: String,
    )

    @Serializable
    internal data class Message(
        val role: String,
        val content: String,
    )

    @Serializable
    internal data class Usage(
        @SerialName("prompt_tokens") val promptTokens: Int,
        @SerialName("completion_tokens") val completionTokens: Int,
        @SerialName("total_tokens") val totalTokens: Int,
    )
}
