package io.knapweedferry.session

import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.IdempotencyKey
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.Revision
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.StreamName
import io.knapweedferry.api.message.Acknowledged
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Attach
import io.knapweedferry.api.message.AttemptFailed
import io.knapweedferry.api.message.Cancel
import io.knapweedferry.api.message.Cancelled
import io.knapweedferry.api.message.ClaimQuery
import io.knapweedferry.api.message.ClaimState
import io.knapweedferry.api.message.ClaimStatus
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import io.knapweedferry.api.message.Decode
import io.knapweedferry.api.message.DecodeStarted
import io.knapweedferry.api.message.Describe
import io.knapweedferry.api.message.Described
import io.knapweedferry.api.message.Invoke
import io.knapweedferry.api.message.Message
import io.knapweedferry.api.message.Prefill
import io.knapweedferry.api.message.Prefilled
import io.knapweedferry.api.message.Refused
import io.knapweedferry.api.message.Release
import io.knapweedferry.api.message.Reserve
import io.knapweedferry.api.message.Reserved
import io.knapweedferry.api.message.ServiceAnswer
import io.knapweedferry.api.message.Tokens
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

/** Guards against messages that change when encoded and decoded, and against corrupt frames whose decoding throws. */
internal class FrameCodecSpec {
    private val request = RequestId("r-ä")
    private val organisation = OrganisationId("o")
    private val endpoint = EndpointId("e")
    private val model = ModelName("m")
    private val lease = LeaseId("l")
    private val load = LoadSummary(endpoint, 1, -2, 3, 4, 5, 6, Int.MAX_VALUE)
    private val source = KvSource(KvHandle("h"), "http://127.0.0.1:1", 7)
    private val claim = ClaimRef(ClaimId("c"), IdempotencyKey("k"), Long.MAX_VALUE, Incarnation("i"), StreamName("claims-0"))
    private val answer = ServiceAnswer(request, 1, 200, "text/plain", "body\u0000", 0xffffffffL, load)

    private val messages: List<Message> =
        listOf(
            Acknowledged,
            AnswerEnd(request, 1, 2, 3, "stop", load),
            Attach(request, organisation, endpoint, 4),
            AttemptFailed(request, 1, FailureReason.PREEMPTED, "d"),
            Cancel(request, organisation, 1, endpoint),
            Cancelled(true),
            ClaimQuery(endpoint, claim),
            ClaimStatus(ClaimState.DONE, answer),
            ConfigOffer(Revision(1), 2, null),
            ConfigPull(Revision.NONE),
            Decode(request, 1, endpoint, organisation, model, Rank.URGENT, lease, "p", 1, 2, source, 0, 3),
            Decode(request, 1, endpoint, organisation, model, Rank.URGENT, lease, "p", 1, 2, null, 0, 3),
            DecodeStarted(request, 1, 2),
            Describe,
            Described(Incarnation("i"), Revision(1), true, listOf(load, load)),
            Invoke(request, 1, endpoint, organisation, ServiceName("s"), OperationName("o"), Rank.BACKGROUND, "b", 1, claim),
            Prefill(request, 1, endpoint, organisation, model, Rank.STANDARD, "p", 1, 2, 3),
            Prefilled(source, 1, 2, 3, load),
            Refused(Refusal(RefusalReason.QUEUE_FULL, "d", 5), load),
            Release(endpoint, lease),
            Reserve(request, 1, endpoint, organisation, model, Rank.STANDARD, 1, 2, 3, 4),
            Reserved(lease, 1, 2, load),
            answer,
            Tokens(request, 1, 2, listOf("", "a", "漢")),
        )

    @Test
    fun `every message is equal after encoding and decoding`() {
        val frames = messages.flatMap { listOf(Frame.Request(1, it), Frame.Reply(Long.MAX_VALUE, it)) }
        for (frame in frames) assertEquals(frame, FrameCodec.decode(FrameCodec.encode(frame)).getOrNull())
    }

    @Test
    fun `a corrupt frame is decoded or reported as an error, and never throws`() {
        val random = Random(SEED)
        repeat(ROUNDS) {
            val bytes = FrameCodec.encode(Frame.Request(1, messages.random(random)))
            repeat(1 + random.nextInt(3)) { bytes[random.nextInt(bytes.size)] = random.nextInt().toByte() }
            FrameCodec.decode(bytes.copyOf(1 + random.nextInt(bytes.size)))
            FrameCodec.decodeHandshake(bytes)
        }
    }

    private companion object {
        const val SEED = 20_261_204
        const val ROUNDS = 5_000
    }
}
