package io.knapweedferry.routing.fleet

/** Elects the instance of the fleet that may send stage orders to engines. Another instance takes over when the holder is lost. */
public interface StageDutyRegister {
    /** True while this instance believes that it holds the duty; only [announce] proves it. */
    public val isHeld: Boolean

    /** Latest orders, announced by any instance. */
    public val announced: List<AnnouncedOrder>

    /**
     * Announces [order] and thereby proves that the duty is still held; null if it is lost or cannot be proved. The proof is
     * valid for a short time only, so the order must be sent immediately.
     */
    public suspend fun announce(order: AnnouncedOrder): StageDuty?
}
