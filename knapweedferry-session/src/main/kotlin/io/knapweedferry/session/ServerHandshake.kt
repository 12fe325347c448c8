package io.knapweedferry.session

import arrow.core.Either
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.knapweedferry.api.ProcessId

/** Server side of the handshake. */
internal class ServerHandshake(
    private val settings: SessionSettings,
) {
    /** Returns the authenticated process id of the peer. */
    suspend fun run(channel: FrameChannel): Either<CloseReason, ProcessId> =
        either {
            val hello = channel.readHandshake().bind() as? HandshakeFrame.Hello ?: raise(CloseReason.FRAME_UNEXPECTED)
            ensure(hello.nonce.size == HandshakeProof.NONCE_BYTES) { CloseReason.FRAME_UNEXPECTED }
            val nonce = HandshakeProof.nonce()
            val ownId = settings.processId.value
            val proof = HandshakeProof(settings.key, hello.processId, hello.nonce, ownId, nonce)
            channel.send(HandshakeFrame.Challenge(HandshakeProof.VERSION, ownId, nonce, proof.serverProof()))
            ensure(hello.version == HandshakeProof.VERSION) { CloseReason.VERSION_MISMATCH }
            val answer = channel.readHandshake().bind() as? HandshakeFrame.Proof ?: raise(CloseReason.FRAME_UNEXPECTED)
            ensure(HandshakeProof.matches(proof.clientProof(), answer.proof)) { CloseReason.NOT_AUTHENTICATED }
            channel.send(HandshakeFrame.Welcome)
            ProcessId(hello.processId)
        }
}
