package io.knapweedferry.policy.claim

import io.knapweedferry.policy.StableHash

/** Spreads keys over claim streams. The count must not change while claims within the horizon exist. */
public class ClaimPartitions(
    private val count: Int,
) {
    init {
        require(count > 0) { "at least one claim stream is needed" }
    }

    /** Returns the number of the stream that holds the claims of [key]. */
    public fun of(key: ClaimKey): Int = Math.floorMod(StableHash.of(key.key.value), count)
}
