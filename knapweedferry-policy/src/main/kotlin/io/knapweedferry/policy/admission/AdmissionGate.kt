package io.knapweedferry.policy.admission

/**
 * Admission control of one endpoint: decides which requests are admitted, and when. Implementations do no I/O and read no
 * clock. Not thread safe; the sidecar serialises calls with one lock. Every method that can free capacity returns the
 * resulting decisions on queued tickets.
 */
public interface AdmissionGate {
    /** Submits a request at [nowMs], a time of a monotonic clock. The ticket is granted, queued or refused. */
    public fun submit(
        ticket: Ticket,
        nowMs: Long,
    ): GateDecisions

    /** Removes a queued ticket or frees the capacity of a granted one. An unknown [id] has no effect. */
    public fun release(
        id: TicketId,
        nowMs: Long,
    ): GateDecisions

    /** Refuses queued tickets that can no longer be granted before their deadline. Must be called by [nextDeadlineMs]. */
    public fun expire(nowMs: Long): GateDecisions

    /** Earliest time at which [expire] has to be called, or null if no call is due. */
    public fun nextDeadlineMs(): Long?

    /** Records the time between two tokens of one stream. Input of the adaptive concurrency limit. */
    public fun observeInterTokenMs(interTokenMs: Double)

    /** Records how long a ticket occupied its capacity. Input of the wait time estimate. */
    public fun observeServiceMs(serviceMs: Double)

    /** Applies a new configuration; granted tickets keep their capacity. The default implementation ignores it. */
    public fun update(
        limits: GateLimits,
        settings: RankedGateSettings,
        nowMs: Long,
    ): GateDecisions = GateDecisions()

    /** Load of the endpoint at [nowMs]. */
    public fun load(nowMs: Long): GateLoad
}
