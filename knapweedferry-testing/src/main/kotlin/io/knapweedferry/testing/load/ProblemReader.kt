package io.knapweedferry.testing.load

import arrow.core.Either
import io.knapweedferry.api.RefusalReason
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** Extracts the code of a refusal or failure from problem details (RFC 9457) or from an error event. */
internal object ProblemReader {
    private val REFUSALS = RefusalReason.entries.map { it.code }.toSet()
    private const val NOT_RUN = "not_run"
    private val CODE_MEMBERS = listOf("code", "reason", "type")

    fun parse(text: String): JsonObject? = Either.catch { Json.parseToJsonElement(text) as? JsonObject }.getOrNull()

    /** Returns the error code, or [fallback] if [text] contains none. */
    fun code(
        text: String,
        fallback: String,
    ): String {
        val root = parse(text) ?: return fallback
        val problem = root["error"] as? JsonObject ?: root
        return CODE_MEMBERS.firstNotNullOfOrNull { textOf(problem[it]) }?.substringAfterLast('/')?.substringAfterLast(':') ?: fallback
    }

    /**
     * Classifies a failed request. It counts as refused only if it certainly was not run: no tokens arrived, the code is that of
     * a refusal, and the outcome, if present, is `not_run`.
     */
    fun kind(
        text: String,
        code: String,
        tokens: Int,
    ): ResultKind {
        val outcome = parse(text)?.let { textOf(it["outcome"]) ?: textOf((it["error"] as? JsonObject)?.get("outcome")) }
        val notRun = outcome == null || outcome == NOT_RUN
        return if (notRun && tokens == 0 && code in REFUSALS) ResultKind.REFUSED else ResultKind.FAILED
    }

    private fun textOf(element: JsonElement?): String? = (element as? JsonPrimitive)?.contentOrNull?.takeIf { it.isNotBlank() }
}
