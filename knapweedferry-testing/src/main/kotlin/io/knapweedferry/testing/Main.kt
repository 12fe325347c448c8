package io.knapweedferry.testing

import io.knapweedferry.testing.capacity.CapacityCommand
import io.knapweedferry.testing.command.DemoCommand
import io.knapweedferry.testing.command.ProxyCommand
import io.knapweedferry.testing.command.ServeCommand
import io.knapweedferry.testing.command.StandInsCommand
import io.knapweedferry.testing.load.LoadCommand
import io.knapweedferry.testing.measure.MeasureCommand
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Exit code for invalid settings or options. */
private const val EXIT_USAGE = 2

/** Entry point of `knapweedferry-testbed`, with one subcommand for each tool. */
@OptIn(ExperimentalCli::class)
public fun main(arguments: Array<String>) {
    // The lib directory is shared with other programs, whose settings could be found under the default resource name.
    System.setProperty("tinylog.configuration", "tinylog-testbed.properties")
    val parser = ArgParser("knapweedferry-testbed")
    parser.subcommands(
        StandInsCommand(),
        ProxyCommand(),
        DemoCommand(),
        ServeCommand(),
        LoadCommand(),
        MeasureCommand(),
        CapacityCommand(),
    )
    try {
        parser.parse(arguments)
    } catch (e: IllegalArgumentException) {
        System.err.println(e.message)
        exitProcess(EXIT_USAGE)
    }
}
