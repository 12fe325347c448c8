package io.knapweedferry.telemetry

/** Exit codes of the daemon. They are a public interface: supervisors and `docs/OPERATIONS.md` depend on the numbers. */
public enum class ExitCode(
    public val code: Int,
    /** Cause of the exit, and whether a supervisor should restart the process. */
    public val meaning: String,
) {
    STOPPED(0, "stopped on request after all work had ended"),
    FAILED(1, "unexpected error; start again"),
    BAD_SETTINGS(2, "command line or settings not valid; do not start again before they are corrected"),
    PORT_IN_USE(3, "a listening port is in use; start again after a pause"),
    DRAIN_TIMED_OUT(4, "stopped on request, but work was cut off at the drain timeout"),
}
