package io.knapweedferry.session

import arrow.core.Either
import arrow.core.getOrElse
import arrow.core.raise.either
import arrow.core.raise.ensure
import io.knapweedferry.api.ProcessId

/** Client side of the handshake. */
internal class ClientHandshake(
    private val settings: SessionSettings,
) {
    /** Returns the authenticated process id of the peer. */
    suspend fun run(channel: FrameChannel): Either<CloseReason, ProcessId> =
        either {
            val nonce = HandshakeProof.nonce()
            val ownId = settings.processId.value
            channel.send(HandshakeFrame.Hello(HandshakeProof.VERSION, ownId, nonce))
            val challenge = channel.readHandshake().bind() as? HandshakeFrame.Challenge ?: raise(CloseReason.FRAME_UNEXPECTED)
            ensure(challenge.version == HandshakeProof.VERSION) { CloseReason.VERSION_MISMATCH }
            val proof = HandshakeProof(settings.key, ownId, nonce, challenge.processId, challenge.nonce)
            ensure(HandshakeProof.matches(proof.serverProof(), challenge.proof)) { CloseReason.NOT_AUTHENTICATED }
            channel.send(HandshakeFrame.Proof(proof.clientProof()))
            val last = channel.readHandshake().getOrElse { raise(CloseReason.NOT_AUTHENTICATED) }
            ensure(last is HandshakeFrame.Welcome) { CloseReason.FRAME_UNEXPECTED }
            ProcessId(challenge.processId)
        }
}
