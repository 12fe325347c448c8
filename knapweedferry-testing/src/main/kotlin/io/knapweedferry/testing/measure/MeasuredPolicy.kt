package io.knapweedferry.testing.measure

/** Routing policies to compare, as lines of settings by section. */
internal enum class MeasuredPolicy(
    val entrySettings: Map<String, List<String>>,
    val sidecarSettings: Map<String, List<String>>,
) {
    /** Random endpoints, one queue in order of arrival, and no reservation before the prefill. */
    BASELINE(
        mapOf("placement" to listOf("policy = \"random\"", "reserve_first = false")),
        mapOf("gate" to listOf("policy = \"fifo\"")),
    ),

    /** The defaults. */
    CURRENT(
        mapOf("placement" to listOf("policy = \"scored\"", "reserve_first = true")),
        mapOf("gate" to listOf("policy = \"ranked\"")),
    ),
}
