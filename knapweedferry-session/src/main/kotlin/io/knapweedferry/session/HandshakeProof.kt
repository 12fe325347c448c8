package io.knapweedferry.session

import java.io.ByteArrayOutputStream
import java.io.DataOutputStream
import java.security.MessageDigest
import java.security.SecureRandom

/**
 * HMAC proofs of the shared key for one handshake. Each covers the role of its sender, the protocol version, both process
 * ids and both nonces, so that it can neither be replayed in another handshake nor reflected to its sender.
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
        /** Protocol version; both ends must use the same. */
        const val VERSION = 1

        const val NONCE_BYTES = 32

        private val random = SecureRandom()

        fun nonce(): ByteArray = ByteArray(NONCE_BYTES).also(random::nextBytes)

        /** Compares in constant time, so that timing does not reveal the expected proof. */
        fun matches(
            expected: ByteArray,
            given: ByteArray,
        ): Boolean = MessageDigest.isEqual(expected, given)
    }
}
