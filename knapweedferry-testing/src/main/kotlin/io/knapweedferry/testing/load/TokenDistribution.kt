package io.knapweedferry.testing.load

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.util.Random
import kotlin.math.exp
import kotlin.math.roundToInt

/** Log-normal distribution of a number of tokens, clamped to a minimum and a maximum. */
@Serializable
public data class TokenDistribution(
    val median: Int,
    /** Standard deviation of the logarithm; with 0, every draw is the median. */
    val sigma: Double = 0.0,
    @SerialName("min")
    val smallest: Int = 1,
    @SerialName("max")
    val largest: Int = Int.MAX_VALUE,
) {
    /** Draws a number of tokens. */
    public fun draw(random: Random): Int = (median * exp(sigma * random.nextGaussian())).roundToInt().coerceIn(smallest, largest)
}
