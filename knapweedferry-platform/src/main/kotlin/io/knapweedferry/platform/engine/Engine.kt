package io.knapweedferry.platform.engine

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.flow.Flow

/** One model engine. Only its sidecar uses this. */
public interface Engine {
    /** Computes the KV cache of a prompt and keeps it exportable for a short time. */
    public suspend fun prefill(order: PrefillOrder): Either<PlatformError, PrefillResult>

    /** Fetches a KV cache straight from the engine that computed it. */
    public suspend fun importKv(
        id: EngineRequestId,
        source: KvSource,
        timeoutMs: Long,
    ): Either<PlatformError, Unit>

    /** Generates tokens; the flow ends after [EngineEvent.Finished] or [EngineEvent.Broken] and never throws. */
    public fun generate(order: GenerateOrder): Flow<EngineEvent>

    /** Stops a request and frees its memory; succeeds if the engine does not know it. */
    public suspend fun cancel(id: EngineRequestId): Either<PlatformError, Unit>

    /** Drops an exported cache. */
    public suspend fun releaseKv(handle: KvHandle): Either<PlatformError, Unit>

    /** Lists the requests that hold memory, also those of a former sidecar incarnation. */
    public suspend fun held(): Either<PlatformError, List<EngineRequestId>>

    /** Slots, memory and load as the engine reports them, with a lag. */
    public suspend fun load(): Either<PlatformError, EngineLoad>

    /** Cache events after [afterSequence]; late and with gaps. */
    public suspend fun cacheEvents(afterSequence: Long): Either<PlatformError, List<CacheEvent>>

    /** Gives an order; an engine that checks fencing refuses an older number. */
    public suspend fun order(order: EngineOrder): Either<PlatformError, Unit>
}
