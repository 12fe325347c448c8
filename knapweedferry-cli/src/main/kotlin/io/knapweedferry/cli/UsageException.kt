package io.knapweedferry.cli

/** Ends the command before a request is sent: invalid arguments, settings or input file, or help was requested. */
internal class UsageException(
    override val message: String,
    val exitCode: ExitCode = ExitCode.USAGE,
) : Exception(message)
