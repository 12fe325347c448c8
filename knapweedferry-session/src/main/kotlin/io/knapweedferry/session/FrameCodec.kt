package io.knapweedferry.session

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.cbor.Cbor

/** Encodes frames as CBOR and decodes them. */
internal object FrameCodec {
    @OptIn(ExperimentalSerializationApi::class)
    private val cbor =
        Cbor {
            ignoreUnknownKeys = true
            alwaysUseByteString = true
            useDefiniteLengthEncoding = true
        }

    fun encode(frame: Frame): ByteArray = encode(Frame.serializer(), frame)

    fun encode(frame: HandshakeFrame): ByteArray = encode(HandshakeFrame.serializer(), frame)

    fun decode(bytes: ByteArray): Either<CloseReason, Frame> = decode(Frame.serializer(), bytes)

    fun decodeHandshake(bytes: ByteArray): Either<CloseReason, HandshakeFrame> = decode(HandshakeFrame.serializer(), bytes)

    @OptIn(ExperimentalSerializationApi::class)
    private fun <T> encode(
        serializer: KSerializer<T>,
        frame: T,
    ): ByteArray = cbor.encodeToByteArray(serializer, frame)

    /** Maps every exception to [CloseReason.FRAME_UNKNOWN], because the decoder throws various types on malformed input. */
    @OptIn(ExperimentalSerializationApi::class)
    private fun <T> decode(
        serializer: KSerializer<T>,
        bytes: ByteArray,
    ): Either<CloseReason, T> =
        runCatching { cbor.decodeFromByteArray(serializer, bytes) }
            .fold({ it.right() }, { CloseReason.FRAME_UNKNOWN.left() })
}
