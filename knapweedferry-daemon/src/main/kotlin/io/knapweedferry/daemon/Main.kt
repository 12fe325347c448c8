package io.knapweedferry.daemon

import io.knapweedferry.daemon.command.EntryCommand
import io.knapweedferry.daemon.command.SidecarCommand
import io.knapweedferry.telemetry.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Command line of `knapweedferryd`. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("knapweedferryd")
    parser.subcommands(EntryCommand(), SidecarCommand())
    if (args.isEmpty()) {
        System.err.println("knapweedferryd: name a role, entry or sidecar; see knapweedferryd --help")
        exitProcess(ExitCode.BAD_SETTINGS.code)
    }
    parser.parse(args)
}
