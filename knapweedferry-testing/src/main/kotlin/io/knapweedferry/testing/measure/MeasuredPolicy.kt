package io.knapweedferry.testing.measure

/** Routing policies to compare, as additional lines for the settings files by section. */
internal enum class MeasuredPolicy(
    val entrySettings: Map<String, List<String>>,
    val sidecarSettings: Map<String, List<String>>,
) {
    /** Random endpoint selection, a FIFO queue, and no reservation of a decode slot before the prefill. */
    BASELINE(
        mapOf("placement" to listOf("policy = \"random\"", "reserve_first = false")),
        mapOf("gate" to listOf("policy = \"fifo\"")),
    ),

    /** Default settings. */
    CURRENT(
        mapOf("placement" to listOf("policy = \"scored\"", "reserve_first = true")),
        mapOf("gate" to listOf("policy = \"ranked\"")),
    ),
}
