package io.knapweedferry.session

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * Proofs of the shared key for one handshake. Each covers protocol version, both process ids and both nonces, and names
 * the role of its sender, so that it fits neither another handshake nor the other direction.
 */
internal class HandshakeProof(
    private val key: SessionKey,
    private val clientId: String,
    private val clientNonce: ByteArray,
    private val serverId: String,
    private val serverNonce: ByteArray,
) {
    fun clientProof(): ByteArray = hmac("client")

    fun serverProof(): ByteArray = hmac("server")

    private fun hmac(role: String): ByteArray {
        val bytes = ByteArrayOutputStream()
        DataOutputStream(bytes).use { out ->
            out.writeUTF(role)
            out.writeInt(VERSION)
            out.writeUTF(clientId)
            out.writeUTF(serverId)
            for (nonce in listOf(clientNonce, serverNonce)) {
                out.writeInt(nonce.size)
                out.write(nonce)
            }
        }
        return key.hmac(bytes.toByteArray())
    }

    companion object {
        /** Version of the protocol; both ends must have the same. */
        const val VERSION = 1

        const val NONCE_BYTES = 32

        private val random = SecureRandom()

        fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also(random::nextBytes)

        /** Takes the same time wherever the two differ. */
        fun matches(
            expected: ByteArray,
            given: ByteArray,
        ): Boolean = MessageDigest.isEqual(expected, given)
    }
}
