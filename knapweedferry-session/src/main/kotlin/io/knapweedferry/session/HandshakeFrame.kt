package io.knapweedferry.session

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Unit of transfer before both ends have proved the shared key. */
@Serializable
internal sealed interface HandshakeFrame {
    /** First frame of the side that connected. */
    @Serializable
    @SerialName("hello")
    class Hello(
        val version: Int,
        val processId: String,
        val nonce: ByteArray,
    ) : HandshakeFrame

    /** Answer of the side that accepted, with its proof. */
    @Serializable
    @SerialName("challenge")
    class Challenge(
        val version: Int,
        val processId: String,
        val nonce: ByteArray,
        val proof: ByteArray,
    ) : HandshakeFrame

    /** Proof of the side that connected. */
    @Serializable
    @SerialName("proof")
    class Proof(
        val proof: ByteArray,
    ) : HandshakeFrame

    /** The proof was accepted. */
    @Serializable
    @SerialName("welcome")
    data object Welcome : HandshakeFrame
}
