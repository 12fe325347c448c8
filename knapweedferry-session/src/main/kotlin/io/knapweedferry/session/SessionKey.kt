package io.knapweedferry.session

import javax.crypto.Mac
import javax.crypto.spec.SecretKeySpec

/** Shared key of both ends of a session. A separate type keeps the key out of logs. */
public class SessionKey(
    bytes: ByteArray,
) {
    private val spec: SecretKeySpec

    init {
        require(bytes.size >= MIN_BYTES) { "the session key has ${bytes.size} bytes; use at least $MIN_BYTES random bytes" }
        spec = SecretKeySpec(bytes, ALGORITHM)
    }

    internal fun hmac(text: ByteArray): ByteArray = Mac.getInstance(ALGORITHM).apply { init(spec) }.doFinal(text)

    override fun toString(): String = "SessionKey(hidden)"

    public companion object {
        /** A shorter key could be brute-forced offline from one observed handshake. */
        public const val MIN_BYTES: Int = 16

        private const val ALGORITHM = "HmacSHA256"
    }
}
