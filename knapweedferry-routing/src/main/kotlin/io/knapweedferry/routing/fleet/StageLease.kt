package io.knapweedferry.routing.fleet

/**
 * Lease on stage assignment: only its holder may send stage orders to engines. Another instance takes the lease over when
 * the holder is lost.
 */
public interface StageLease {
    /** True until the last renewal expires by the clocks of this instance; only a grant from [announce] proves that it holds the lease. */
    public val isHeld: Boolean

    /** Latest orders, announced by any instance. */
    public val announced: List<AnnouncedStageOrder>

    /**
     * Announces [order] and renews the lease; null if the lease is lost or the renewal is not confirmed in time. The grant is
     * valid for a short time only, and the order must not be sent after it has expired.
     */
    public suspend fun announce(order: AnnouncedStageOrder): StageLeaseGrant?
}
