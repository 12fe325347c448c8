package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A subcommand that sends one request. Parsing only selects it, so that options after it are known when it runs. */
@OptIn(ExperimentalCli::class)
internal abstract class CliCommand(
    name: String,
    description: String,
    private val select: (CliCommand) -> Unit,
) : Subcommand(name, description) {
    final override fun execute() = select(this)

    /** Request for the parsed arguments. */
    abstract fun request(): OperatorRequest
}
