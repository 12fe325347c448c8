package io.knapweedferry.policy.quota

/** Tells whether one direction of the exchange, reading or writing, has failed for too long. */
internal class ExchangeHealth {
    /** Null before the first success. */
    var succeededAtS: Double? = null
        private set
    private var requestedAtS: Double? = null
    private var nearSinceS: Double? = null

    /** Records that the exchange should succeed soon, because the load may have risen. */
    fun request(nowS: Double) {
        if (requestedAtS == null) requestedAtS = nowS
    }

    /** Records whether an organisation is near its limit; the exchange should succeed frequently then. */
    fun setNear(
        isNear: Boolean,
        nowS: Double,
    ) {
        nearSinceS = if (isNear) nearSinceS ?: nowS else null
    }

    /** Records a success of a call that was made at [atS]. */
    fun recordSuccess(atS: Double) {
        succeededAtS = maxOf(succeededAtS ?: atS, atS)
        requestedAtS = requestedAtS?.takeIf { it > atS }
        nearSinceS = nearSinceS?.let { maxOf(it, atS) }
    }

    fun isFailed(
        nowS: Double,
        timing: QuotaTiming,
    ): Boolean {
        val last = succeededAtS ?: return true
        if (nowS - last > QuotaTiming.CALM_FAILED_AFTER_S) return true
        return listOfNotNull(requestedAtS, nearSinceS).any { nowS - it > timing.silentAfterS }
    }
}
