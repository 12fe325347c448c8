package io.knapweedferry.cli

import kotlinx.cli.ArgParser

/**
 * Makes the parser throw a [UsageException] instead of ending the process. For an invalid command line kotlinx-cli exits
 * with code 127, and the function that does so is internal, so it is replaced by reflection under its mangled name.
 */
internal object ParserExitHandler {
    private val exitCodeHelp = "\nExit codes:\n" + ExitCode.entries.joinToString("\n") { "    ${it.code} - ${it.meaning}" }

    /** Must be called before subcommands are added, because they copy the function from their parent parser. */
    fun install(parser: ArgParser) {
        val terminate: (String, Int) -> Nothing = { message, code ->
            if (code == 0) throw UsageException(message.trimEnd() + exitCodeHelp, ExitCode.OK)
            throw UsageException(message)
        }
        ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(parser, terminate)
    }
}
