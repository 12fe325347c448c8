package io.knapweedferry.platform.engine

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.flow.Flow

/** Client of an inference engine. Only the sidecar of the engine uses it. */
public interface Engine {
    /** Computes the KV cache of a prompt. The engine keeps the cache available for export for a short time. */
    public suspend fun prefill(request: PrefillRequest): Either<PlatformError, PrefillResult>

    /** Makes the engine fetch a KV cache directly from the engine that computed it. */
    public suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit>

    /** Generates tokens. The flow ends with [EngineEvent.Finished] or [EngineEvent.Broken] and never throws. */
    public fun generate(request: GenerateRequest): Flow<EngineEvent>

    /** Cancels a request and frees its memory. Succeeds if the request is unknown to the engine. */
    public suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit>

    /** Releases an exported KV cache. */
    public suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit>

    /** Lists the requests that occupy memory, including those of previous sidecar incarnations. */
    public suspend fun occupyingRequests(): Either<PlatformError, List<EngineRequestId>>

    /** Returns the load that the engine reports. The values lag behind the current state. */
    public suspend fun load(): Either<PlatformError, EngineLoad>

    /** Returns the prefix cache events after [afterSequence]. Events may be delayed or missing. */
    public suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>>

    /** Sends a control command. An engine that checks fencing tokens rejects commands with an outdated one. */
    public suspend fun control(command: EngineCommand): Either<PlatformError, Unit>
}
