package io.knapweedferry.entry.pipeline

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.JsonElement

/** The part of the chat-completions request body that the router reads. */
@Serializable
internal data class ChatRequest(
    val model: String? = null,
    val messages: List<ChatMessage> = emptyList(),
    val stream: Boolean = false,
    @SerialName("max_tokens") val maxTokens: Int? = null,
    @SerialName("max_completion_tokens") val maxCompletionTokens: Int? = null,
    val metadata: ChatMetadata = ChatMetadata(),
) {
    @Serializable
    internal data class ChatMessage(
        val role: String,
        val content: JsonElement,
    )

    @Serializable
    internal data class ChatMetadata(
        val work: String? = null,
        val rank: String? = null,
        @SerialName("deadline_ms") val deadlineMs: Long? = null,
    )
}
