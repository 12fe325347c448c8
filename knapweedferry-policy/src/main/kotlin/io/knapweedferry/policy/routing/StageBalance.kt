package io.knapweedferry.policy.routing

import kotlin.math.ceil

/** Sizes the prefill stage of a service whose engines run disaggregated prefill and decode. */
public object StageBalance {
    /** A need above a whole number by less than this does not justify a further engine. */
    private const val ROUNDING_SLACK = 0.3

    /**
     * Target number of prefill engines among [engines] whose requests need [prefillShare] of them in the prefill stage. At
     * least one, unless there is only one engine.
     */
    public fun targetPrefillEngines(
        engines: Int,
        prefillShare: Double,
    ): Int = if (engines < 2) 0 else ceil(engines * prefillShare - ROUNDING_SLACK).toInt().coerceIn(1, engines - 1)

    /**
     * Whether the prefill stage is so far below its target that an engine should change to it. A change takes the engine
     * out of service for seconds, so half of the target is enough: decode engines prefill prompts that would otherwise
     * queue.
     */
    public fun needsPrefillEngine(
        engines: Int,
        prefill: Int,
        prefillShare: Double,
    ): Boolean = prefill * 2 < targetPrefillEngines(engines, prefillShare)

    /**
     * Returns the prefill engines beyond the target, taken from the zone with the most prefill engines first.
     * [prefillByZone] lists the prefill engines of each zone.
     */
    public fun <E> surplusPrefillEngines(
        engines: Int,
        prefillShare: Double,
        prefillByZone: Map<String, List<E>>,
    ): List<E> {
        val remaining = prefillByZone.mapValues { it.value.toMutableList() }
        val surplus = mutableListOf<E>()
        repeat(prefillByZone.values.sumOf { it.size } - targetPrefillEngines(engines, prefillShare)) {
            val zone = remaining.entries.sortedBy { it.key }.maxBy { it.value.size }
            surplus += zone.value.removeLast()
        }
        return surplus
    }
}
