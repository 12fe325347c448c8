package io.knapweedferry.it.once

import kotlinx.serialization.json.Json
import kotlinx.serialization.json.jsonObject
import kotlinx.serialization.json.jsonPrimitive

/** What one call brought its caller; a [status] of null means that the connection ended without an answer. */
internal data class StampReply(
    val requestId: String,
    val status: Int?,
    val body: String,
) {
    val isCompleted: Boolean get() = status == STATUS_OK

    val isNotRun: Boolean get() = status != null && !isCompleted && field("outcome") == "not_run"

    val kind: String get() = if (isCompleted) "completed" else field("outcome") ?: "no answer (${status ?: "cut"})"

    /** Member of the answer of the service, or of the problem detail. */
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
