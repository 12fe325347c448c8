package io.knapweedferry.platform.engine

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Hashes that engines use in [CacheEvent] for the prefixes of a prompt. Whoever wants to know how much of a prompt an
 * engine has cached computes the same hashes.
 */
public object PrefixHashes {
    /** Prefixes grow by this many characters. */
    public const val BLOCK_CHARS: Int = 1_024

    private const val HASH_BYTES = 8

    /** Hashes of the prefixes of [prompt] that are whole blocks, shortest first. */
    public fun of(prompt: String): List<String> {
        val digest = MessageDigest.getInstance("SHA-256")
        return (0 until prompt.length / BLOCK_CHARS).map { block ->
            digest.update(prompt.substring(block * BLOCK_CHARS, (block + 1) * BLOCK_CHARS).encodeToByteArray())
            val soFar = (digest.clone() as MessageDigest).digest()
            HexFormat.of().formatHex(soFar, 0, HASH_BYTES)
        }
    }
}
