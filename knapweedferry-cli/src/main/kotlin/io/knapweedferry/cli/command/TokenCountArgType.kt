package io.knapweedferry.cli.command

import io.knapweedferry.api.placement.PlacementRequest
import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException

/** Argument type of token counts. */
internal object TokenCountArgType : ArgType<Int>(true) {
    private val range = PlacementRequest.MIN_TOKENS..PlacementRequest.MAX_TOKENS

    override val description: kotlin.String = "{ Number from ${range.first} to ${range.last} }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): kotlin.Int =
        value.toIntOrNull()?.takeIf { it in range }
            ?: throw ParsingException(
                "Option --$name is $value; give a whole number from ${range.first} to ${range.last}, or leave it out.",
            )
}
