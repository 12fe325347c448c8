package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvHandle
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch

/** Exported KV caches of one engine; each is evicted after a time to live unless it is imported. */
internal class KvExports(
    private val engineName: String,
    private val ttlMs: Long,
    private val scope: CoroutineScope,
    private val memory: MemoryPool,
    private val counters: EngineCounters,
) {
    private val exports = LinkedHashMap<KvHandle, KvExport>()
    private var nextNumber = 0L

    fun publish(
        id: String,
        tokens: Int,
        computedTokens: Int,
    ): KvExport {
        val export = KvExport(KvHandle("$engineName-${nextNumber++}"), id, tokens, computedTokens)
        exports[export.handle] = export
        expireLater(export)
        return export
    }

    fun ofRequest(id: String): KvExport? = exports.values.find { it.requestId == id }

    /** Starts a transfer; null if the cache was evicted. */
    fun beginTransfer(handle: KvHandle): KvExport? {
        val export = exports[handle] ?: return null
        export.transfers++
        export.expiry?.cancel()
        return export
    }

    /** Ends a transfer that [beginTransfer] started. */
    fun endTransfer(
        export: KvExport,
        imported: Boolean,
    ) {
        export.transfers--
        if (exports[export.handle] !== export) return
        if (imported) {
            counters.importedExports++
            remove(export)
        } else if (export.transfers == 0) {
            expireLater(export)
        }
    }

    /** Evicts a cache that was not imported and counts its prefill as wasted. */
    fun drop(export: KvExport) {
        if (exports[export.handle] !== export) return
        counters.wastedPrefills++
        counters.wastedPrefillTokens += export.computedTokens
        remove(export)
    }

    fun drop(handle: KvHandle) {
        exports[handle]?.let(::drop)
    }

    fun dropAll() = exports.values.toList().forEach(::drop)

    private fun remove(export: KvExport) {
        export.expiry?.cancel()
        exports -= export.handle
        memory.free(export.requestId)
    }

    private fun expireLater(export: KvExport) {
        export.expiry =
            scope.launch {
                delay(ttlMs)
                drop(export)
            }
    }
}
