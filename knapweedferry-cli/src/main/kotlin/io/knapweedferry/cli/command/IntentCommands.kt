package io.knapweedferry.cli.command

/** `intent ...`: the commands that propose a configuration change. */
internal class IntentCommands :
    CommandGroup("intent", "Propose a change; the answer is a plan, which changes nothing until it is confirmed") {
    override fun createCommands(select: (CliCommand) -> Unit): List<CliCommand> =
        listOf(
            ApplyCommand(select),
            AssignCommand(select),
            DrainCommand(select),
            RemoveCommand(select),
            WorkCommand(select),
            RankCommand(select),
            OrganisationCommand(select),
            ModelCommand(select),
        )
}
