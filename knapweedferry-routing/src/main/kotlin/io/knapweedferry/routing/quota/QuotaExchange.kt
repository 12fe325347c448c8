package io.knapweedferry.routing.quota

import io.knapweedferry.policy.quota.UseReport

/** Exchange of the use of quotas between the instances of a fleet. */
public interface QuotaExchange {
    /** Name of this instance in its reports. */
    public val node: String

    /** Writes [report] in the background, without blocking, and calls [onAcknowledged] from any thread once it has been stored. */
    public fun publish(
        report: UseReport,
        onAcknowledged: () -> Unit,
    )

    /**
     * Starts to read the reports of the other instances, which costs calls. Passes each successful read to [receiver], from any
     * thread; the flag is true if it returned the latest reports of all instances.
     */
    public fun subscribe(receiver: (List<UseReport>, Boolean) -> Unit)

    /** Sets the time between reads; a pause in progress that has lasted longer ends. */
    public fun setPollPauseMs(pauseMs: Long)
}
