package io.knapweedferry.policy.prefix

import io.knapweedferry.policy.StableHash

/** Computes block hashes of prompt prefixes. */
public object PrefixHashes {
    /**
     * Characters per block: large enough to hash the longest prompts cheaply, small enough to distinguish common system
     * prompts.
     */
    public const val BLOCK_CHARS: Int = 2_048

    /**
     * Returns one hash per complete block of [prompt], each over the prefix up to the end of that block, shortest prefix
     * first. The hash includes the model, because engines do not share caches between models.
     */
    public fun of(
        model: String,
        prompt: String,
        blockChars: Int = BLOCK_CHARS,
    ): List<String> {
        var previousHash = model
        return prompt.chunked(blockChars).filter { it.length == blockChars }.map { block ->
            previousHash = StableHash.of(previousHash, block).toULong().toString(RADIX)
            previousHash
        }
    }

    private const val RADIX = 16
}
