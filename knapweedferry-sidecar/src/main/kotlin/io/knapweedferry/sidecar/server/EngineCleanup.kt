package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.KvHandle
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.engine.Engine
import io.knapweedferry.platform.engine.EngineRequestId
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull

/** Frees engine memory, and repeats the call until the engine confirms it. */
internal class EngineCleanup(
    private val engine: Engine,
    private val context: SidecarContext,
) {
    private val timeoutMs = context.settings.engineCallTimeoutMs

    /** Returns after the first call; [onFreed] runs once the engine confirmed, which may be later. */
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

    /** Drops an exported cache; not repeated, because the engine evicts it soon by itself. */
    suspend fun releaseKv(handle: KvHandle) {
        succeeds { engine.releaseKv(handle) }
    }

    /** Cancels what the engine still holds for former incarnations. */
    suspend fun cancelOrphans(ids: EngineRequestIds) {
        var retryDelayMs = FIRST_RETRY_DELAY_MS
        while (true) {
            val held = withTimeoutOrNull(timeoutMs) { engine.held() }?.getOrNull()
            if (held != null) {
                held.filterNot(ids::isOwn).forEach { id -> cancel(id) { context.counters.leftoverCancelled() } }
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

        /** Keeps the memory bound of an abandoned request close to one engine call once the engine answers again. */
        private const val MAX_RETRY_DELAY_MS = 1_000L
    }
}
