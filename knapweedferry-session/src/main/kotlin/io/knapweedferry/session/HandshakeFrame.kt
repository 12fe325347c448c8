package io.knapweedferry.session

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Frame exchanged before both ends are authenticated. */
@Serializable
internal sealed interface HandshakeFrame {
    /** First frame, sent by the client. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val version: Int,
        val processId: String,
        val nonce: ByteArray,
    ) : HandshakeFrame

    /** Reply of the server, with its proof of the shared key. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val version: Int,
        val processId: String,
        val nonce: ByteArray,
        val proof: ByteArray,
    ) : HandshakeFrame

    /** Proof of the client. */
    @Serializable
    @SerialName("proof")
    class Proof(
        val proof: ByteArray,
    ) : HandshakeFrame

    /** The server accepted the proof of the client. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : HandshakeFrame
}
