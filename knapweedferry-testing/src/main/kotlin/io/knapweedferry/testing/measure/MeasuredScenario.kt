package io.knapweedferry.testing.measure

/** Load and fault scenarios; rates are relative to those of [MeasuredLoad]. */
internal enum class MeasuredScenario(
    /** Factor on the peak request rates. */
    val loadFactor: Double,
    /** Rank whose work arrives at ten times its rate throughout the run. */
    val floodedRank: String? = null,
    val fault: MeasuredFault? = null,
) {
    /** Half the peak load; reference for the flood and fault scenarios. */
    QUIET(HALF),
    PEAK(1.0),
    FLOOD_BACKGROUND(HALF, floodedRank = "background"),
    FLOOD_URGENT(HALF, floodedRank = "urgent"),
    CUT_STREAMS(HALF, fault = MeasuredFault.CUT),
    KILL_SIDECARS(HALF, fault = MeasuredFault.KILL),
}

private const val HALF = 0.5
