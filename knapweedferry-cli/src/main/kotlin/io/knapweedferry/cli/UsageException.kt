package io.knapweedferry.cli

/** Ends parsing: the command line or an input is not valid, or help was asked for. */
internal class UsageException(
    override val message: String,
    val exitCode: ExitCode = ExitCode.USAGE,
) : Exception(message)
