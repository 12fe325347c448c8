package io.knapweedferry.entry.operator

import io.knapweedferry.api.OperatorName
import io.knapweedferry.config.settings.OperatorSettings
import java.security.MessageDigest

/** Maps a bearer token to its operator by the SHA-256 hash of the token. */
internal class OperatorAuthenticator(
    operators: List<OperatorSettings>,
) {
    private val tokenHashes = operators.map { it.name to it.tokenSha256.encodeToByteArray() }

    /** Returns the operator of the [authorization] header, or null. Compares all hashes in constant time to prevent timing attacks. */
    fun authenticate(authorization: String?): OperatorName? {
        val token = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim() ?: return null
        val digest = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        val hex = digest.joinToString("") { "%02x".format(it) }.encodeToByteArray()
        return tokenHashes.filter { (_, hash) -> MessageDigest.isEqual(hash, hex) }.map { it.first }.firstOrNull()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
