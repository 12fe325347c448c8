package io.knapweedferry.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException

/** Argument type of paths of requests. */
internal object PathArgType : ArgType<String>(true) {
    override val description: kotlin.String = "{ Path that begins with / }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): kotlin.String =
        value.takeIf { it.startsWith('/') } ?: throw ParsingException("Option --$name is $value; give a path that begins with /.")
}
