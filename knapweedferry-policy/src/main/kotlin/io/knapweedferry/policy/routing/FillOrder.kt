package io.knapweedferry.policy.routing

/**
 * Order in which the engines of a service are packed with requests, identical in all entries without coordination. Less
 * urgent requests fill engines one after another from the front; urgent ones start at the back, where single engines keep
 * enough free KV cache for large prompts. Spreading the same load evenly would leave too little on every engine.
 */
public enum class FillOrder {
    FROM_FRONT,
    FROM_BACK,
    ;

    /**
     * Returns a cost in milliseconds for the engine [id], which grows with its distance from the side where filling starts.
     */
    public fun costMs(id: String): Double {
        val position = ((id.hashCode() * HASH_MULTIPLIER) ushr POSITION_SHIFT).toDouble() / POSITIONS
        return MAX_COST_MS * if (this == FROM_FRONT) position else 1 - position
    }

    private companion object {
        /** Exceeds the cost of one entry's own requests at an engine, but not the cost of a failing or slow engine. */
        const val MAX_COST_MS = 100.0

        /** Fibonacci hashing: distributes ids that differ in few bits. */
        const val HASH_MULTIPLIER = -0x61c88647
        const val POSITION_SHIFT = 16
        const val POSITIONS = 65_536
    }
}
