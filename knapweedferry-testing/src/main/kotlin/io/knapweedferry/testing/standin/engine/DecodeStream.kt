package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.testing.standin.StandInAnswer
import kotlinx.coroutines.Job

/** One generation in an engine. */
internal class DecodeStream(
    val order: GenerateOrder,
    val sequence: Long,
) {
    val id: String = order.id.value
    val answer = StandInAnswer(order.prompt, order.maxOutputTokens)
    val promptTokens = StandInAnswer.promptTokens(order.prompt)

    /** Position of the next token. */
    var position = order.fromPosition

    /** Tokens of prompt and answer whose cache is in the memory of the engine. */
    var cachedTokens: Int? = null
    var sink: TokenSink? = null

    /** Gets the stream from the slot into the batch. */
    var start: Job? = null

    val finished: Boolean get() = position >= answer.length

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
