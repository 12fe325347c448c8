package io.knapweedferry.sidecar.server

import arrow.core.Either
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
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch

/** Maps exceptions of an engine adapter to errors, so that every request ends with a reply. */
internal class ExceptionMappingEngine(
    private val engine: Engine,
) : Engine {
    override suspend fun prefill(request: PrefillRequest): Either<PlatformError, PrefillResult> = mapExceptions { engine.prefill(request) }

    override suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit> = mapExceptions { engine.importKv(id, source, timeoutMs) }

    override fun generate(request: GenerateRequest): Flow<EngineEvent> =
        engine.generate(request).catch { emit(EngineEvent.Broken(PlatformError.InvalidResponse(it.toString()))) }

    override suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit> = mapExceptions { engine.cancel(id) }

    override suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit> = mapExceptions { engine.releaseKv(handle) }

    override suspend fun occupyingRequests(): Either<PlatformError, List<EngineRequestId>> = mapExceptions { engine.occupyingRequests() }

    override suspend fun load(): Either<PlatformError, EngineLoad> = mapExceptions { engine.load() }

    override suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>> =
        mapExceptions { engine.cacheEvents(afterSequence) }

    override suspend fun control(command: EngineCommand): Either<PlatformError, Unit> = mapExceptions { engine.control(command) }
}
