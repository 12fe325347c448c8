package io.knapweedferry.cli

/** Exit codes of the command-line client. */
internal enum class ExitCode(
    val code: Int,
    /** Description in the help text; docs/settings.md repeats it word for word. */
    val meaning: String,
) {
    OK(0, "done"),
    REFUSED(1, "refused by the entry, or another change came first"),
    USAGE(2, "command line, settings or input file not valid"),
    UNREACHABLE(3, "no entry answered in time, or the entries cannot use the log; look at the history before repeating a confirmation"),
}
