package io.knapweedferry.platform.engine

import java.security.MessageDigest
import java.util.HexFormat

/**
 * Prompt prefix hashes as engines report them in [CacheEvent]. Compare them with the hashes of a prompt to find out how much
 * of it an engine has cached.
 */
public object PrefixHashes {
    /** Block size, in characters; each prefix is one block longer than the previous one. */
    public const val BLOCK_CHARS: Int = 1_024

    private const val HASH_BYTES = 8

    /** Returns the hashes of all prefixes of [prompt] that consist of whole blocks, shortest first. */
    public fun of(prompt: String): List<String> {
        val digest = MessageDigest.getInstance("SHA-256")
        return (0 until prompt.length / BLOCK_CHARS).map { block ->
            digest.update(prompt.substring(block * BLOCK_CHARS, (block + 1) * BLOCK_CHARS).encodeToByteArray())
            val prefixHash = (digest.clone() as MessageDigest).digest()
            HexFormat.of().formatHex(prefixHash, 0, HASH_BYTES)
        }
    }
}
