package io.knapweedferry.policy.routing

import kotlin.math.max
import kotlin.math.roundToInt

/** Decides how many engines of a service read prompts for the others. */
public object StageBalance {
    /**
     * Share of the engines that the prefill stage needs. A typical request keeps a prefill engine busy for a fifth of the time
     * for which it occupies its part of a decode engine; the rest is head room, because a queue there delays every first token.
     */
    public const val PREFILL_SHARE: Double = 0.25

    /** Engines of the prefill stage wanted among [engines]; one is kept even in a small fleet. Half an engine counts as one. */
    public fun wantedPrefill(engines: Int): Int = if (engines < 2) 0 else max(1, (engines * PREFILL_SHARE).roundToInt())

    /**
     * True if so few of the [engines] are in the prefill stage that an engine should change to it. A change takes seconds in
     * which the engine serves nobody, so half of the wanted number is enough: decode engines read what a queue delays.
     */
    public fun isShort(
        engines: Int,
        prefill: Int,
    ): Boolean = prefill * 2 < wantedPrefill(engines)

    /**
     * Engines that should leave the prefill stage, from the zone with the most of them first: [prefillByZone] lists the prefill engines of
     * each zone. Empty if there are no more than wanted.
     */
    public fun <E> surplus(
        engines: Int,
        prefillByZone: Map<String, List<E>>,
    ): List<E> {
        val remaining = prefillByZone.mapValues { it.value.toMutableList() }
        val surplus = mutableListOf<E>()
        repeat(prefillByZone.values.sumOf { it.size } - wantedPrefill(engines)) {
            val zone = remaining.entries.sortedBy { it.key }.maxBy { it.value.size }
            surplus += zone.value.removeLast()
        }
        return surplus
    }
}
