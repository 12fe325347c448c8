package io.knapweedferry.routing.fleet

/**
 * Exchange of crash reports between the instances of a fleet: each one sees only its own requests, and a prompt that crashes
 * engines may come to any instance.
 */
public interface CrashReportExchange {
    /** Publishes [report] in the background; the call does not block. */
    public fun publish(report: CrashReport)

    /** Passes the reports of other instances to [receiver], from any thread and possibly more than once. */
    public fun subscribe(receiver: (CrashReport) -> Unit)
}
