package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.engine.EngineRequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Frees memory that requests hold in an engine. */
internal class EngineCleanup(
    private val engine: Engine,
    private val context: SidecarContext,
) {
    private val timeoutMs = context.settings.engineCallTimeoutMs

    /**
     * Cancels a request and retries with backoff until the engine confirms. Returns after the first try; [onFreed] runs
     * once the engine has confirmed.
     */
    suspend fun cancel(
        id: EngineRequestId,
        onFreed: () -> Unit = {},
    ) {
        if (succeeds { engine.cancel(id) }) return onFreed()
        context.scope.launch {
            var retryDelayMs = FIRST_RETRY_DELAY_MS
            do {
                context.counters.engineCancelFailed()
                delay(retryDelayMs)
                retryDelayMs = (retryDelayMs * 2).coerceAtMost(MAX_RETRY_DELAY_MS)
            } while (!succeeds { engine.cancel(id) })
            onFreed()
        }
    }

    /** Releases an exported KV cache. Not retried, because the engine soon evicts it by itself. */
    suspend fun releaseKv(handle: KvHandle) {
        succeeds { engine.releaseKv(handle) }
    }

    /** Cancels requests of other incarnations than that of [ids]; retries until the engine lists the requests it holds. */
    suspend fun cancelOrphans(ids: EngineRequestIds) {
        var retryDelayMs = FIRST_RETRY_DELAY_MS
        while (true) {
            val held = withTimeoutOrNull(timeoutMs) { engine.occupyingRequests() }?.getOrNull()
            if (held != null) {
                held.filterNot(ids::isOwn).forEach { id -> cancel(id) { context.counters.orphanCancelled() } }
                return
            }
            delay(retryDelayMs)
            retryDelayMs = (retryDelayMs * 2).coerceAtMost(MAX_RETRY_DELAY_MS)
        }
    }

    private suspend fun succeeds(call: suspend () -> Either<PlatformError, Unit>): Boolean =
        withTimeoutOrNull(timeoutMs) { call() }?.isRight() == true

    companion object {
        private const val FIRST_RETRY_DELAY_MS = 100L

        /** Bounds how long an abandoned request holds memory after the engine responds again. */
        private const val MAX_RETRY_DELAY_MS = 1_000L
    }
}
