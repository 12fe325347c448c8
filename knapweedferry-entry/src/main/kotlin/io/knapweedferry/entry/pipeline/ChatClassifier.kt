package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.WorkPolicy
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Parses and validates a chat-completions body and derives model, rank, token counts and deadlines from it. */
internal class ChatClassifier(
    private val timeSource: TimeSource,
    private val tokenEstimator: TokenEstimator = TokenEstimator(),
    private val rankRule: RankRule = RankRule(),
) {
    private val json = Json { ignoreUnknownKeys = true }

    fun classify(
        requestId: RequestId,
        organisationId: OrganisationId,
        body: String,
        config: ConfigSnapshot,
    ): Either<Refusal, ModelJob> =
        either {
            val organisation = config.state.organisations.getValue(organisationId)
            val request = parse(body).bind()
            val work = workOf(request, config).bind()
            val model = modelOf(request, work, organisation, config).bind()
            val rank = rankRule.rankOf(request.metadata.rank, work?.rank, organisation).bind()
            val prompt = promptOf(request).bind()
            val targets = config.state.ranks[rank] ?: DEFAULT_TARGETS
            val start = timeSource.markNow()
            val deadlineMs = deadlineOf(request, targets).bind()
            val contextTokens =
                config.state.models
                    .getValue(model)
                    .contextTokens
            val promptTokens = tokenEstimator.tokensOf(prompt)
            ModelJob(
                requestId = requestId,
                organisation = organisationId,
                model = model,
                rank = rank,
                prompt = prompt,
                promptTokens = promptTokens,
                maxOutputTokens = outputTokensOf(request, promptTokens, contextTokens).bind(),
                stream = request.stream,
                firstTokenDeadline = start + minOf(targets.firstTokenTargetMs, deadlineMs).milliseconds,
                deadline = start + deadlineMs.milliseconds,
            )
        }

    private fun parse(body: String): Either<Refusal, ChatRequest> =
        try {
            json.decodeFromString<ChatRequest>(body).right()
        } catch (problem: SerializationException) {
            malformed(
                problem.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
        } catch (problem: IllegalArgumentException) {
            malformed(
                problem.message
                    .orEmpty()
                    .lineSequence()
                    .first(),
            )
        }

    private fun workOf(
        request: ChatRequest,
        config: ConfigSnapshot,
    ): Either<Refusal, WorkPolicy?> {
        val name = request.metadata.work ?: return null.right()
        return config.state.work[WorkKind(name)]?.right() ?: Refusal(RefusalReason.UNKNOWN_WORK).left()
    }

    private fun modelOf(
        request: ChatRequest,
        work: WorkPolicy?,
        organisation: OrganisationPolicy,
        config: ConfigSnapshot,
    ): Either<Refusal, ModelName> {
        val model = work?.model ?: request.model?.let(::ModelName) ?: return malformed("model or metadata.work is required")
        if (model !in config.state.models) return Refusal(RefusalReason.UNKNOWN_MODEL).left()
        val allowed = organisation.models.isEmpty() || model in organisation.models
        return if (allowed) model.right() else Refusal(RefusalReason.MODEL_NOT_ALLOWED).left()
    }

    private fun promptOf(request: ChatRequest): Either<Refusal, String> {
        if (request.messages.isEmpty()) return malformed("messages is empty")
        val parts = request.messages.map { "${it.role}: ${textOf(it.content) ?: return malformed("message content must be text")}" }
        return parts.joinToString("\n").right()
    }

    private fun textOf(content: JsonElement): String? =
        when (content) {
            is JsonPrimitive -> if (content.isString) content.content else null
            is JsonArray -> content.map { textOfPart(it) ?: return null }.joinToString("")
            is JsonObject -> null
        }

    private fun textOfPart(part: JsonElement): String? = ((part as? JsonObject)?.get("text") as? JsonPrimitive)?.content

    private fun deadlineOf(
        request: ChatRequest,
        targets: RankPolicy,
    ): Either<Refusal, Long> {
        val deadlineMs = request.metadata.deadlineMs ?: return targets.deadlineMs.right()
        if (deadlineMs !in 1..MAX_DEADLINE_MS) return malformed("metadata.deadline_ms must be between 1 and $MAX_DEADLINE_MS")
        return deadlineMs.right()
    }

    private fun outputTokensOf(
        request: ChatRequest,
        promptTokens: Int,
        contextTokens: Int,
    ): Either<Refusal, Int> {
        val wanted = request.maxCompletionTokens ?: request.maxTokens ?: DEFAULT_OUTPUT_TOKENS
        if (wanted < 1) return malformed("max_tokens must be at least 1")
        if (promptTokens + wanted <= contextTokens) return wanted.right()
        val detail = "$promptTokens prompt tokens and $wanted output tokens exceed the model's context of $contextTokens tokens"
        return Refusal(RefusalReason.PROMPT_TOO_LONG, detail).left()
    }

    private fun malformed(detail: String) = Refusal(RefusalReason.MALFORMED_REQUEST, detail).left()

    private companion object {
        const val DEFAULT_OUTPUT_TOKENS = 256
        const val MAX_DEADLINE_MS = 3_600_000L

        /** Applies to a rank without targets in the configuration. */
        val DEFAULT_TARGETS =
            RankPolicy(firstTokenTargetMs = 10_000, interTokenTargetMs = 100, deadlineMs = 60_000, floorPercent = 0)
    }
}
