package io.knapweedferry.policy.admission

import kotlin.math.sqrt

/** Work that engines granted to the requests of one queue during the last [windowMs] of congestion. */
public class GrantHistory(
    private val windowMs: Long,
    private val grants: List<Grant>,
) {
    /** Grant to a request with the given [WaitingRequest.valueStep] and [WaitingRequest.work]. */
    public class Grant(
        public val valueStep: Int,
        public val work: Double,
    )

    /** Work per millisecond granted to all requests. */
    internal fun meanRate(typicalWork: Double): Double = (grants.sumOf { it.work } + typicalWork) / windowMs

    /**
     * Work per millisecond that more valuable requests left to those of [valueStep] and less, as an upper bound that nine in
     * ten samples at the same rate stay below; [typicalWork] stands for grants that chance withheld.
     */
    internal fun upperRate(
        valueStep: Int,
        typicalWork: Double,
    ): Double {
        val left = grants.filter { it.valueStep >= valueStep }
        val work = left.sumOf { it.work }
        val meanWork = if (left.isEmpty()) typicalWork else work / left.size
        return (work + (sqrt(left.size.toDouble()) + CONFIDENCE_MARGIN_GRANTS) * meanWork) / windowMs
    }

    private companion object {
        /** As in [GrantRateEstimator]. */
        const val CONFIDENCE_MARGIN_GRANTS = 2
    }
}
