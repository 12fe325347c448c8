package io.knapweedferry.policy.routing

import kotlin.math.max
import kotlin.math.roundToInt

/** Sizes the prefill stage of a service whose engines run disaggregated prefill and decode. */
public object StageBalance {
    /**
     * Share of the engines in the prefill stage. A typical request keeps a prefill engine busy for a fifth of the time that
     * it occupies its part of a decode engine. The rest is headroom, because a queue at the prefill stage delays the first
     * token of every request.
     */
    public const val PREFILL_SHARE: Double = 0.25

    /** Target number of prefill engines among [engines], rounded half up. At least one, unless there is only one engine. */
    public fun targetPrefillEngines(engines: Int): Int = if (engines < 2) 0 else max(1, (engines * PREFILL_SHARE).roundToInt())

    /**
     * Whether the prefill stage is so far below its target that an engine should change to it. A change takes the engine
     * out of service for seconds, so half of the target is enough: decode engines prefill prompts that would otherwise
     * queue.
     */
    public fun needsPrefillEngine(
        engines: Int,
        prefill: Int,
    ): Boolean = prefill * 2 < targetPrefillEngines(engines)

    /**
     * Returns the prefill engines beyond the target, taken from the zone with the most prefill engines first.
     * [prefillByZone] lists the prefill engines of each zone.
     */
    public fun <E> surplusPrefillEngines(
        engines: Int,
        prefillByZone: Map<String, List<E>>,
    ): List<E> {
        val remaining = prefillByZone.mapValues { it.value.toMutableList() }
        val surplus = mutableListOf<E>()
        repeat(prefillByZone.values.sumOf { it.size } - targetPrefillEngines(engines)) {
            val zone = remaining.entries.sortedBy { it.key }.maxBy { it.value.size }
            surplus += zone.value.removeLast()
        }
        return surplus
    }
}
