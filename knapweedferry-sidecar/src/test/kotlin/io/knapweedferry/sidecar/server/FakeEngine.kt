package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.CacheEvent
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.EngineRequestId
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.engine.PrefillResult
import kotlinx.coroutines.delay
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.flow

/** Engine in virtual time: emits a token every [tokenMs], ten per answer, and records which requests hold memory. */
internal class FakeEngine : Engine {
    val holding = LinkedHashSet<EngineRequestId>()
    val releasedKv = mutableListOf<KvHandle>()
    val orders = mutableListOf<EngineCommand>()
    val prefills = mutableListOf<PrefillRequest>()
    var tokenMs = 25L
    var prefillMs = 100L
    var importMs = 10L
    var imports = 0
    var cancelErrors = 0
    var orderResult: Either<PlatformError, Unit> = Unit.right()
    var onOrder: suspend () -> Unit = {}
    var events: List<EngineEvent> =
        List(TOKENS) { EngineEvent.Token(it, "t$it") } + EngineEvent.Finished(TOKENS, "stop")

    override suspend fun prefill(request: PrefillRequest): Either<PlatformError, PrefillResult> {
        prefills += request
        holding += request.id
        delay(prefillMs)
        holding -= request.id
        return PrefillResult(KvSource(KvHandle("kv-${request.id.value}"), "http://127.0.0.1:1", 100), 0).right()
    }

    override suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit> {
        imports++
        holding += id
        delay(importMs)
        return Unit.right()
    }

    override fun generate(request: GenerateRequest): Flow<EngineEvent> =
        flow {
            holding += request.id
            for (event in events) {
                if (event is EngineEvent.Token && event.position < request.fromPosition) continue
                delay(tokenMs)
                if (event is EngineEvent.Finished) holding -= request.id
                emit(event)
            }
        }

    override suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit> {
        if (cancelErrors-- > 0) return PlatformError.NoResponse("no answer").left()
        holding -= id
        return Unit.right()
    }

    override suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit> {
        releasedKv += handle
        return Unit.right()
    }

    override suspend fun occupyingRequests(): Either<PlatformError, List<EngineRequestId>> = holding.toList().right()

    override suspend fun load(): Either<PlatformError, EngineLoad> = EngineLoad(2, 0, 10, 0, 100, "m", "1", "MIXED").right()

    override suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>> = emptyList<CacheEvent>().right()

    override suspend fun control(command: EngineCommand): Either<PlatformError, Unit> {
        orders += command
        onOrder()
        return orderResult
    }

    companion object {
        const val TOKENS = 10
    }
}
