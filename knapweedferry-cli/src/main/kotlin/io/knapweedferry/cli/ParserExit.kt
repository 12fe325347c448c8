package io.knapweedferry.cli

import kotlinx.cli.ArgParser

/**
 * Makes the parser raise a [UsageException] where it would end the process. The library ends it with exit code 127 for a
 * faulty command line and keeps the function that does so internal, so that it can only be set by its compiled name.
 */
internal object ParserExit {
    private val exitCodes = "\nExit codes:\n" + ExitCode.entries.joinToString("\n") { "    ${it.code} - ${it.meaning}" }

    /** To be called before subcommands are added, because they take over the function from their parent. */
    fun install(parser: ArgParser) {
        val end: (String, Int) -> Nothing = { message, code ->
            if (code == 0) throw UsageException(message.trimEnd() + exitCodes, ExitCode.OK)
            throw UsageException(message)
        }
        ArgParser::class.java.getMethod("setOutputAndTerminate\$kotlinx_cli", Function2::class.java).invoke(parser, end)
    }
}
