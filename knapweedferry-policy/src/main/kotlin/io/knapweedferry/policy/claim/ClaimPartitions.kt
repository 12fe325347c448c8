package io.knapweedferry.policy.claim

import io.knapweedferry.policy.StableHash

/** Partitions keys over claim streams. The count must not change while unexpired claims exist. */
public class ClaimPartitions(
    private val count: Int,
) {
    init {
        require(count > 0) { "at least one claim stream is needed" }
    }

    /** Returns the index of the stream that holds the claims of [key]. */
    public fun of(key: ClaimKey): Int = Math.floorMod(StableHash.of(key.key.value), count)
}
