package io.knapweedferry.cli.command

import io.knapweedferry.cli.UsageException
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** A subcommand that only has subcommands of its own. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private var chosen = false

    /** Commands of this group; each calls its argument when it is chosen. */
    protected abstract fun commands(select: (CliCommand) -> Unit): List<CliCommand>

    /** To be called once this group belongs to a parser, whose name and error handling its commands take over. */
    fun addCommands(select: (CliCommand) -> Unit) {
        val commands =
            commands {
                chosen = true
                select(it)
            }
        subcommands(*commands.toTypedArray())
    }

    final override fun execute() {
        if (!chosen) throw UsageException("$name needs a subcommand; see knapweedferry $name --help")
    }
}
