package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.platform.engine.GenerateRequest
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.flow.firstOrNull
import kotlinx.coroutines.flow.mapNotNull
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** Imports the KV cache and generates one answer into [buffer] until it completes, fails, is aborted or times out. */
internal class StreamRunner(
    private val engine: Engine,
    private val context: SidecarContext,
    private val request: GenerateRequest,
    private val source: KvSource?,
    private val buffer: StreamBuffer,
    private val onInterTokenMs: (Double) -> Unit,
) {
    private val aborted = CompletableDeferred<StreamOutcome.Failed>()
    private var lastTokenAtMs: Long? = null

    /** Ends the stream with [reason] unless it has ended. */
    fun abort(
        reason: FailureReason,
        detail: String,
    ) {
        aborted.complete(StreamOutcome.Failed(reason, detail))
    }

    /** Returns the outcome. Unless the answer is complete, the engine may still hold memory for the request. */
    @OptIn(ExperimentalCoroutinesApi::class)
    suspend fun run(deadlineMs: Long): StreamOutcome =
        coroutineScope {
            val generation = async { generate() }
            val outcome =
                select {
                    aborted.onAwait { it }
                    generation.onAwait { it }
                    onTimeout(deadlineMs) { StreamOutcome.Failed(FailureReason.DEADLINE, "the deadline of the request passed") }
                }
            generation.cancel()
            outcome
        }

    private suspend fun generate(): StreamOutcome {
        val startedAtMs = context.clock.nowMs()
        if (source != null) import(source)?.let { return it }
        buffer.start(context.clock.nowMs() - startedAtMs)
        return engine
            .generate(request)
            .mapNotNull(::handle)
            .firstOrNull()
            ?: StreamOutcome.Failed(FailureReason.ENGINE_FAILED, "the engine closed the stream without a finish event")
    }

    private suspend fun import(source: KvSource): StreamOutcome? {
        val timeoutMs = context.settings.importTimeoutMs
        var detail = ""
        repeat(context.settings.importAttempts) {
            val result = withTimeoutOrNull(timeoutMs) { engine.importKv(request.id, source, timeoutMs) }
            if (result?.isRight() == true) return null
            detail = result?.leftOrNull()?.message ?: "the transfer did not complete within $timeoutMs ms"
        }
        return StreamOutcome.Failed(FailureReason.TRANSFER_FAILED, detail)
    }

    /** Returns the outcome if [event] ends the stream, else null. */
    private fun handle(event: EngineEvent): StreamOutcome? =
        when (event) {
            is EngineEvent.Token -> handleToken(event)
            is EngineEvent.Finished -> handleFinished(event)
            is EngineEvent.Broken -> StreamOutcome.Failed(reasonFor(event.error), event.error.message)
        }

    private fun handleToken(token: EngineEvent.Token): StreamOutcome? {
        if (token.position < buffer.nextPosition) return null
        if (token.position > buffer.nextPosition) {
            return incomplete("received token position ${token.position}, expected ${buffer.nextPosition}")
        }
        buffer.append(token.text)
        val now = context.clock.nowMs()
        lastTokenAtMs?.let { onInterTokenMs((now - it).toDouble()) }
        lastTokenAtMs = now
        return null
    }

    private fun handleFinished(end: EngineEvent.Finished): StreamOutcome {
        if (end.tokenCount != buffer.nextPosition) {
            return incomplete("the engine reports ${end.tokenCount} tokens, ${buffer.nextPosition} were received")
        }
        return StreamOutcome.Complete(end.tokenCount, end.finishReason)
    }

    private fun incomplete(detail: String) = StreamOutcome.Failed(FailureReason.INCOMPLETE_ANSWER, detail)

    private fun reasonFor(error: PlatformError): FailureReason =
        when (error) {
            is PlatformError.NotSent, is PlatformError.NoResponse -> FailureReason.ENGINE_LOST
            is PlatformError.Rejected, is PlatformError.InvalidResponse -> FailureReason.ENGINE_FAILED
        }
}
