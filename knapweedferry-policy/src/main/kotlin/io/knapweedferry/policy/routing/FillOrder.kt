package io.knapweedferry.policy.routing

/**
 * Order in which all entries fill the engines of a service, without having to agree on it. Less urgent requests fill one
 * engine after another from the front, urgent ones begin at the back, where room in one piece is left for large prompts.
 * Spread evenly, the same load would leave every engine too little room for them.
 */
public enum class FillOrder {
    FROM_FRONT,
    FROM_BACK,
    ;

    /** Cost in ms that makes the engine [id] a later choice the further it is from the side where filling begins. */
    public fun costMs(id: String): Double {
        val position = ((id.hashCode() * HASH_MIX) ushr POSITION_SHIFT).toDouble() / POSITIONS
        return SPREAD_MS * if (this == FROM_FRONT) position else 1 - position
    }

    private companion object {
        /** Above the cost of the requests that one entry has at an engine, below that of a failing or slow one. */
        const val SPREAD_MS = 100.0

        /** Fibonacci hashing: spreads ids that differ in few bits. */
        const val HASH_MIX = -0x61c88647
        const val POSITION_SHIFT = 16
        const val POSITIONS = 65_536
    }
}
