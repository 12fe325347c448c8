package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.CacheEvent
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.platform.engine.EngineOrder
import io.knapweedferry.platform.engine.EngineRequestId
import io.knapweedferry.platform.engine.GenerateOrder
import io.knapweedferry.platform.engine.PrefillOrder
import io.knapweedferry.platform.engine.PrefillResult
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.catch

/** Maps exceptions of an engine adapter to errors, so that every request ends with a reply. */
internal class ExceptionMappingEngine(
    private val engine: Engine,
) : Engine {
    override suspend fun prefill(order: PrefillOrder): Either<PlatformError, PrefillResult> = mapExceptions { engine.prefill(order) }

    override suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit> = mapExceptions { engine.importKv(id, source, timeoutMs) }

    override fun generate(order: GenerateOrder): Flow<EngineEvent> =
        engine.generate(order).catch { emit(EngineEvent.Broken(PlatformError.BadAnswer(it.toString()))) }

    override suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit> = mapExceptions { engine.cancel(id) }

    override suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit> = mapExceptions { engine.releaseKv(handle) }

    override suspend fun held(): Either<PlatformError, List<EngineRequestId>> = mapExceptions { engine.held() }

    override suspend fun load(): Either<PlatformError, EngineLoad> = mapExceptions { engine.load() }

    override suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>> =
        mapExceptions { engine.cacheEvents(afterSequence) }

    override suspend fun order(order: EngineOrder): Either<PlatformError, Unit> = mapExceptions { engine.order(order) }
}
