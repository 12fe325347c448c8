package io.knapweedferry.entry.operator

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.config.intent.FleetFile
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.OperatorProblem
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Reads the body of an intent: JSON with a `type`, or a whole fleet as TOML. */
internal object IntentBody {
    private const val TOML = "application/toml"

    fun read(
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
        } catch (fault: SerializationException) {
            unreadable(fault)
        } catch (fault: IllegalArgumentException) {
            unreadable(fault)
        }

    private fun unreadable(fault: Exception): Either<OperatorProblem, Intent> {
        val cause = fault.message?.lineSequence()?.firstOrNull()
        return Problems.malformed("the body is not an intent ($cause); send JSON with a known type, or $TOML").left()
    }
}
