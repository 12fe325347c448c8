package io.knapweedferry.cli.command

import io.knapweedferry.cli.UsageException
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand

/** Command that does nothing itself and only holds subcommands. */
@OptIn(ExperimentalCli::class)
internal abstract class CommandGroup(
    name: String,
    description: String,
) : Subcommand(name, description) {
    private var selected = false

    /** Creates the subcommands; each passes itself to [select] when the parser reaches it. */
    protected abstract fun createCommands(select: (CliCommand) -> Unit): List<CliCommand>

    /** Must be called after the group was added to a parser, because the subcommands copy its name and error handling. */
    fun addSubcommands(select: (CliCommand) -> Unit) {
        val commands =
            createCommands {
                selected = true
                select(it)
            }
        subcommands(*commands.toTypedArray())
    }

    final override fun execute() {
        if (!selected) throw UsageException("$name needs a subcommand; see knapweedferry $name --help")
    }
}
