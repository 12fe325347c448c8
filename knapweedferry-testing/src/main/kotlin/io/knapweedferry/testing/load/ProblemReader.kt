package io.knapweedferry.testing.load

import arrow.core.Either
import io.knapweedferry.api.RefusalReason
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.contentOrNull

/** Finds the code of a refusal or failure in problem details or in an error event. */
internal object ProblemReader {
    private val REFUSALS = RefusalReason.entries.map { it.code }.toSet()
    private const val NOT_RUN = "not_run"
    private val MEMBERS = listOf("code", "reason", "type")

    fun parse(text: String): JsonObject? = Either.catch { Json.parseToJsonElement(text) as? JsonObject }.getOrNull()

    /** Returns the code, or [fallback] if [text] has none. */
    fun code(
        text: String,
        fallback: String,
    ): String {
        val root = parse(text) ?: return fallback
        val problem = root["error"] as? JsonObject ?: root
        return MEMBERS.firstNotNullOfOrNull { textOf(problem[it]) }?.substringAfterLast('/')?.substringAfterLast(':') ?: fallback
    }

    /**
     * Only what certainly means "not run" counts as refusal: an answer without tokens whose outcome, if given, and code both
     * say so.
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
