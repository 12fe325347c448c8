package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.testing.standin.StandInAnswer
import kotlinx.coroutines.Job

/** One generation request of an engine. */
internal class DecodeStream(
    val order: GenerateRequest,
    val sequence: Long,
) {
    val id: String = order.id.value
    val answer = StandInAnswer(order.prompt, order.maxOutputTokens)
    val promptTokens = StandInAnswer.promptTokens(order.prompt)

    /** Position of the next token. */
    var position = order.fromPosition

    /** Prompt and answer tokens whose KV cache is in engine memory; null if the cache must be computed. */
    var cachedTokens: Int? = null
    var sink: TokenSink? = null

    /** Prepares the KV cache and adds the stream to the batch. */
    var startJob: Job? = null

    val isFinished: Boolean get() = position >= answer.length

    fun writeToken(position: Int) {
        sink?.write(GenerateLine.Token(position, answer.text(position)))
    }

    fun writeEnd() {
        sink?.write(GenerateLine.Finished(answer.length, answer.finishReason))
        sink?.end()
        sink = null
    }

    fun writeFailure(
        code: String,
        message: String,
    ) {
        sink?.write(GenerateLine.Failed(code, message))
        sink?.end()
        sink = null
    }
}
