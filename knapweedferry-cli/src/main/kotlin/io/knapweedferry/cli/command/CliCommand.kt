package io.knapweedferry.cli.command

import io.knapweedferry.cli.OperatorRequest
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/**
 * Command that sends one request. Parsing only selects the command; it runs after the whole command line is parsed, so that
 * options that follow the command take effect.
 */
@OptIn(ExperimentalCli::class)
internal abstract class CliCommand(
    name: String,
    description: String,
    private val select: (CliCommand) -> Unit,
) : Subcommand(name, description) {
    final override fun execute() = select(this)

    /** Builds the request from the parsed arguments. Throws [io.knapweedferry.cli.UsageException] if an input file is invalid. */
    abstract fun request(): OperatorRequest
}
