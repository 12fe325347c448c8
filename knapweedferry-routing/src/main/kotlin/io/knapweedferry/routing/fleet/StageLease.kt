package io.knapweedferry.routing.fleet

/**
 * Lease on stage assignment: only its holder may send stage orders to engines. Another instance takes the lease over when
 * the holder is lost.
 */
public interface StageLease {
    /** True while this instance believes that it holds the lease; only a grant from [announce] proves it. */
    public val isHeld: Boolean

    /** Latest orders, announced by any instance. */
    public val announced: List<AnnouncedStageOrder>

    /**
     * Announces [order] and renews the lease; null if the lease is lost or the renewal is not confirmed in time. The grant is
     * valid for a short time only, so the order must be sent immediately.
     */
    public suspend fun announce(order: AnnouncedStageOrder): StageLeaseGrant?
}
