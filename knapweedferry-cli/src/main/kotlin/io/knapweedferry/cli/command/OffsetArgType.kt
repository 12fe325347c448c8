package io.knapweedferry.cli.command

import kotlinx.cli.ArgType
import kotlinx.cli.ParsingException

/** Argument type of plan ids and revisions, which are non-negative log offsets. */
internal object OffsetArgType : ArgType<Long>(true) {
    override val description: kotlin.String = "{ Number }"

    override fun convert(
        value: kotlin.String,
        name: kotlin.String,
    ): Long =
        value.toLongOrNull()?.takeIf { it >= 0 } ?: throw ParsingException("Option $name is expected to be a number. $value is provided.")
}
