package io.knapweedferry.policy.admission

/**
 * Decides which requests an endpoint takes and when. Pure: no I/O and no clock of its own. Not thread safe; the sidecar
 * calls it under one lock. Every method that can free capacity returns what becomes of waiting tickets.
 */
public interface AdmissionGate {
    /** Offers a request at [nowMs] on a monotonic clock. */
    public fun offer(
        ticket: Ticket,
        nowMs: Long,
    ): GateChanges

    /** Ends a ticket, whether it waits or holds capacity. */
    public fun release(
        id: TicketId,
        nowMs: Long,
    ): GateChanges

    /** Refuses waiting tickets that can no longer meet their deadline. Called at [nextDeadlineMs] or earlier. */
    public fun expire(nowMs: Long): GateChanges

    /** Earliest time at which [expire] has work, or null. */
    public fun nextDeadlineMs(): Long?

    /** Tells the gate the time between two tokens of one stream, for the concurrency limit. */
    public fun observeInterTokenMs(interTokenMs: Double)

    /** Tells the gate how long a ticket held its capacity, for the forecast of waiting times. */
    public fun observeServiceMs(serviceMs: Double)

    /** Applies the rules of a new configuration; holders keep their capacity. A gate without such rules does nothing. */
    public fun update(
        limits: GateLimits,
        settings: RankedGateSettings,
        nowMs: Long,
    ): GateChanges = GateChanges()

    /** Current load. */
    public fun load(nowMs: Long): GateLoad
}
