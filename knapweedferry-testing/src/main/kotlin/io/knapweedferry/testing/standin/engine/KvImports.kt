package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.ImportRequest
import io.knapweedferry.testing.standin.http.ErrorResponseException
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.withTimeoutOrNull

/** Imports of KV caches by one engine: those in progress, and those completed whose generation has not started yet. */
internal class KvImports(
    private val engine: EngineStandIn,
    private val directory: EngineDirectory,
    private val scope: CoroutineScope,
    private val memory: MemoryPool,
    private val counters: EngineCounters,
) {
    private val inProgress = HashMap<String, Deferred<ErrorResponseException?>>()
    private val importedIds = HashSet<String>()

    /** Imports a cache. A newer import with the same id replaces one in progress; a completed import is not repeated. */
    suspend fun run(request: ImportRequest) {
        val id = request.id.value
        if (id in importedIds) return
        inProgress.remove(id)?.cancel()
        if (!memory.tryReserve(id, request.source.promptTokens)) throw ErrorResponseException.notExecuted("no free memory")
        val transfer = scope.async { transfer(request) }
        inProgress[id] = transfer
        awaitTransfer(id, transfer)?.let { throw it }
    }

    /** Hands the imported cache of request [id] over to its generation; false if none was imported. */
    fun consume(id: String): Boolean = importedIds.remove(id)

    fun cancel(id: String) {
        inProgress.remove(id)?.cancel()
        importedIds -= id
    }

    fun cancelAll() {
        inProgress.values.forEach { it.cancel() }
        inProgress.clear()
        importedIds.clear()
    }

    private suspend fun awaitTransfer(
        id: String,
        transfer: Deferred<ErrorResponseException?>,
    ): ErrorResponseException? {
        transfer.join()
        if (transfer.isCancelled) {
            return ErrorResponseException(
                CONFLICT,
                "cancelled",
                "the import was cancelled or replaced by a newer one",
            )
        }
        return transfer.await().also { if (inProgress[id] === transfer) complete(id, it) }
    }

    private fun complete(
        id: String,
        failure: ErrorResponseException?,
    ) {
        inProgress -= id
        if (failure == null) {
            counters.imports++
            importedIds += id
        } else {
            counters.failedImports++
            memory.free(id)
        }
    }

    private suspend fun transfer(request: ImportRequest): ErrorResponseException? {
        val exporter =
            directory.find(request.source.engineUrl) ?: return ErrorResponseException.notExecuted("the exporting engine is unreachable")
        val export =
            exporter.beginExport(request.source.handle)
                ?: return ErrorResponseException(GONE, "export_gone", "the exported cache was evicted")
        var transferred = false
        try {
            transferred = withTimeoutOrNull(request.timeoutMs) { directory.transfer(exporter, engine, export.tokens) } != null
        } finally {
            exporter.endExport(export, transferred)
        }
        return if (transferred) null else ErrorResponseException.notExecuted("transfer timed out; its memory was released")
    }

    private companion object {
        const val CONFLICT = 409
        const val GONE = 410
    }
}
