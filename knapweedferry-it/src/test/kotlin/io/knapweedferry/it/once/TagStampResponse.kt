package io.knapweedferry.it.once

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** Response to one call; [status] is null if the connection closed without one, and [body] is then the error. */
internal data class TagStampResponse(
    val requestId: String,
    val status: Int?,
    val body: String,
) {
    val isCompleted: Boolean get() = status == STATUS_OK

    val isNotRun: Boolean get() = status != null && !isCompleted && field("outcome") == "not_run"

    val kind: String get() = if (isCompleted) "completed" else field("outcome") ?: "no answer (${status ?: "cut"})"

    /** Field of the JSON body or problem detail; null if it is missing or the body is not JSON. */
    fun field(name: String): String? =
        runCatching {
            Json
                .parseToJsonElement(body)
                .jsonObject[name]
                ?.jsonPrimitive
                ?.content
        }.getOrNull()

    private companion object {
        const val STATUS_OK = 200
    }
}
