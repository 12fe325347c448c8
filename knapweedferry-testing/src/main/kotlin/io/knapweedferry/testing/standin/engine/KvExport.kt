package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvHandle
import kotlinx.coroutines.Job

/** A KV cache that an engine keeps for import by another one. */
internal class KvExport(
    val handle: KvHandle,
    /** Prefill request that owns the memory. */
    val id: String,
    val tokens: Int,
    val computedTokens: Int,
) {
    /** Transfers in progress; the cache is not evicted during a transfer. */
    var transfers = 0
    var expiry: Job? = null
}
