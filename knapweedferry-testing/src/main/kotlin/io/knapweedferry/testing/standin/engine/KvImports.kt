package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.testing.standin.http.StandInFailure
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull

/** Imported KV caches of one engine that wait for their generation, and imports in progress. */
internal class KvImports(
    private val engine: EngineStandIn,
    private val directory: EngineDirectory,
    private val scope: CoroutineScope,
    private val memory: MemoryPool,
    private val counters: EngineCounters,
) {
    private val inProgress = HashMap<String, Deferred<StandInFailure?>>()
    private val ready = HashSet<String>()

    /** Fetches a cache. A newer import with the same id replaces one in progress; a finished one is not repeated. */
    suspend fun run(request: ImportRequest) {
        val id = request.id.value
        if (id in ready) return
        inProgress.remove(id)?.cancel()
        if (!memory.tryHold(id, request.source.promptTokens)) throw StandInFailure.notDone("no free memory")
        val transfer = scope.async { transfer(request) }
        inProgress[id] = transfer
        failureOf(id, transfer)?.let { throw it }
    }

    /** Takes the imported cache of [id] for its generation. */
    fun take(id: String): Boolean = ready.remove(id)

    fun cancel(id: String) {
        inProgress.remove(id)?.cancel()
        ready -= id
    }

    fun cancelAll() {
        inProgress.values.forEach { it.cancel() }
        inProgress.clear()
        ready.clear()
    }

    private suspend fun failureOf(
        id: String,
        transfer: Deferred<StandInFailure?>,
    ): StandInFailure? {
        transfer.join()
        if (transfer.isCancelled) return StandInFailure(CONFLICT, "cancelled", "the import was cancelled or replaced by a newer one")
        return transfer.await().also { if (inProgress[id] === transfer) settle(id, it) }
    }

    private fun settle(
        id: String,
        failure: StandInFailure?,
    ) {
        inProgress -= id
        if (failure == null) {
            counters.imports++
            ready += id
        } else {
            counters.failedImports++
            memory.free(id)
        }
    }

    private suspend fun transfer(request: ImportRequest): StandInFailure? {
        val exporter = directory.find(request.source.engineUrl) ?: return StandInFailure.notDone("exporting engine not reachable")
        val export = exporter.claimExport(request.source.handle) ?: return StandInFailure(GONE, "export_gone", "cache was evicted")
        var moved = false
        try {
            moved = withTimeoutOrNull(request.timeoutMs) { directory.transfer(exporter, engine, export.tokens) } != null
        } finally {
            exporter.settleExport(export, moved)
        }
        return if (moved) null else StandInFailure.notDone("transfer timed out and holds no memory")
    }

    private companion object {
        const val CONFLICT = 409
        const val GONE = 410
    }
}
