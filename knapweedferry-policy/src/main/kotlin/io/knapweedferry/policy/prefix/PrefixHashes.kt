package io.knapweedferry.policy.prefix

import io.knapweedferry.policy.StableHash

/** Names the prefixes of prompts. */
public object PrefixHashes {
    /** Long enough that hashing costs little for the longest prompts, short enough to tell common instructions apart. */
    public const val BLOCK_CHARS: Int = 2_048

    /**
     * Returns a hash of the prefix that ends with each whole block of [prompt], shortest prefix first. The model is part of
     * the hash, because engines do not share caches between models.
     */
    public fun of(
        model: String,
        prompt: String,
        blockChars: Int = BLOCK_CHARS,
    ): List<String> {
        var previous = model
        return prompt.chunked(blockChars).filter { it.length == blockChars }.map { block ->
            previous = StableHash.of(previous, block).toULong().toString(RADIX)
            previous
        }
    }

    private const val RADIX = 16
}
