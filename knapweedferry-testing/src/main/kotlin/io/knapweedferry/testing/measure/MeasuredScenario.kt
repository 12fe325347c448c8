package io.knapweedferry.testing.measure

/** Situations to measure; rates are relative to those of [MeasuredLoad]. */
internal enum class MeasuredScenario(
    /** Factor on the peak rates. */
    val load: Double,
    /** Rank whose work arrives at ten times its rate during the whole run. */
    val floodedRank: String? = null,
    val fault: MeasuredFault? = null,
) {
    /** Half the peak load, to compare floods and faults with. */
    QUIET(HALF),
    PEAK(1.0),
    FLOOD_BACKGROUND(HALF, floodedRank = "background"),
    FLOOD_URGENT(HALF, floodedRank = "urgent"),
    CUT_STREAMS(HALF, fault = MeasuredFault.CUT),
    KILL_SIDECARS(HALF, fault = MeasuredFault.KILL),
}

private const val HALF = 0.5
