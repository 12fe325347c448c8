package io.knapweedferry.daemon

import io.knapweedferry.daemon.command.EntryCommand
import io.knapweedferry.daemon.command.SidecarCommand
import io.knapweedferry.telemetry.ExitCode
import kotlinx.cli.ArgParser
import kotlinx.cli.ExperimentalCli
import kotlin.system.exitProcess

/** Runs the daemon `knapweedferryd` in the role that the first argument selects. */
@OptIn(ExperimentalCli::class)
public fun main(args: Array<String>) {
    val parser = ArgParser("knapweedferryd")
    parser.subcommands(EntryCommand(), SidecarCommand())
    if (args.isEmpty()) {
        System.err.println("knapweedferryd: no role given, expected entry or sidecar; see knapweedferryd --help")
        exitProcess(ExitCode.BAD_SETTINGS.code)
    }
    parser.parse(args)
}
