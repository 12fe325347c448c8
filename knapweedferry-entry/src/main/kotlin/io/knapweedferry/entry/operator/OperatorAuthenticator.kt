package io.knapweedferry.entry.operator

import io.knapweedferry.api.OperatorName
import io.knapweedferry.config.settings.OperatorSettings
import java.security.MessageDigest

/** Maps a bearer token to the operator whose hash it matches. */
internal class OperatorAuthenticator(
    operators: List<OperatorSettings>,
) {
    private val known = operators.map { it.name to it.tokenSha256.encodeToByteArray() }

    /** Returns the operator of the [authorization] header, or null. Every hash is compared in full, so that time tells nothing. */
    fun authenticate(authorization: String?): OperatorName? {
        val token = authorization?.takeIf { it.startsWith(SCHEME, ignoreCase = true) }?.substring(SCHEME.length)?.trim() ?: return null
        val digest = MessageDigest.getInstance("SHA-256").digest(token.encodeToByteArray())
        val hex = digest.joinToString("") { "%02x".format(it) }.encodeToByteArray()
        return known.filter { (_, hash) -> MessageDigest.isEqual(hash, hex) }.map { it.first }.firstOrNull()
    }

    private companion object {
        const val SCHEME = "Bearer "
    }
}
