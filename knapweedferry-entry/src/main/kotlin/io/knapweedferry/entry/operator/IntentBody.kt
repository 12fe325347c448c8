package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.config.intent.FleetFile
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.OperatorProblem
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Parses the body of an intent: JSON with a `type` field, or a complete fleet definition in TOML. */
internal object IntentBody {
    private const val TOML = "application/toml"

    fun parse(
        contentType: String?,
        body: String,
        force: Boolean,
    ): Either<OperatorProblem, Intent> = if (contentType?.startsWith(TOML) == true) fleet(body, force) else json(body)

    private fun fleet(
        body: String,
        force: Boolean,
    ): Either<OperatorProblem, Intent> =
        FleetFile
            .parse("fleet", body)
            .map { Intent.ApplyFleet(it, force) }
            .mapLeft { problems -> Problems.malformed(problems.joinToString("\n") { it.message }) }

    private fun json(body: String): Either<OperatorProblem, Intent> =
        try {
            Json.decodeFromString(Intent.serializer(), body).right()
        } catch (error: SerializationException) {
            malformed(error)
        } catch (error: IllegalArgumentException) {
            malformed(error)
        }

    private fun malformed(error: Exception): Either<OperatorProblem, Intent> {
        val cause = error.message?.lineSequence()?.firstOrNull()
        return Problems.malformed("the body is not a valid intent ($cause); send JSON with a known type, or $TOML").left()
    }
}
