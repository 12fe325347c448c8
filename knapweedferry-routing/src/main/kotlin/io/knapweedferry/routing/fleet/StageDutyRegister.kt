package io.knapweedferry.routing.fleet

/** Settles which instance of the fleet may give orders to engines. The duty passes on when its holder is lost. */
public interface StageDutyRegister {
    /** True while this instance holds the duty, as far as it knows. */
    public val isHeld: Boolean

    /** Latest orders, whoever announced them. */
    public val announced: List<AnnouncedOrder>

    /**
     * Announces [order] and so proves that the duty is still held; null if it is not, or not provably. The order has to be
     * sent at once, because the proof is good for a short time.
     */
    public suspend fun announce(order: AnnouncedOrder): StageDuty?
}
