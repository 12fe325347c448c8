package io.knapweedferry.policy.quota

import kotlin.math.exp

/** Exponentially weighted rate of amounts over time, without the bias towards 0 that such a rate has after its start. */
internal class DecayingRate(
    private val timeConstantS: Double,
    private val startedAtS: Double,
) {
    private var weighted = 0.0
    private var updatedAtS = startedAtS

    fun add(
        amount: Double,
        nowS: Double,
    ) {
        weighted = (recent(nowS) + amount).coerceAtLeast(0.0)
        updatedAtS = nowS
    }

    fun perSecond(nowS: Double): Double {
        val ageS = (nowS - startedAtS).coerceAtLeast(MIN_AGE_S)
        return recent(nowS) / (timeConstantS * (1 - exp(-ageS / timeConstantS)))
    }

    /** Weighted amount; the latest amounts count in full. */
    fun recent(nowS: Double): Double = weighted * exp(-(nowS - updatedAtS) / timeConstantS)

    private companion object {
        /** A rate over a shorter time is mostly chance. */
        const val MIN_AGE_S = 1.0
    }
}
