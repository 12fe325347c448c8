package io.knapweedferry.routing.explain

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.either
import arrow.core.right
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.placement.PlacementRequest

/** Reads the query parameters of `GET /v1/explain`. */
internal object ExplainQuery {
    /** Returns the request, or a message that names the invalid parameter and the remedy. */
    fun read(parameter: (String) -> String?): Either<String, PlacementRequest> =
        either {
            val host = required("host", parameter("host")).bind()
            val path = required("path", parameter("path")).bind()
            if (!path.startsWith('/')) raise("path is $path; give a path that begins with /")
            PlacementRequest(
                host = host,
                path = path,
                organisation = parameter("organisation")?.takeIf { it.isNotEmpty() }?.let(::OrganisationId),
                promptTokens = tokens("prompt-tokens", parameter("prompt-tokens")).bind(),
                outputTokens = tokens("output-tokens", parameter("output-tokens")).bind(),
            )
        }

    private fun required(
        name: String,
        value: String?,
    ): Either<String, String> = value?.takeIf { it.isNotBlank() }?.right() ?: "$name is missing; add the query parameter $name".left()

    private fun tokens(
        name: String,
        value: String?,
    ): Either<String, Int?> {
        if (value == null) return null.right()
        val range = PlacementRequest.MIN_TOKENS..PlacementRequest.MAX_TOKENS
        val count = value.toIntOrNull()?.takeIf { it in range }
        return count?.right() ?: "$name is $value; give a whole number from ${range.first} to ${range.last}, or leave it out".left()
    }
}
