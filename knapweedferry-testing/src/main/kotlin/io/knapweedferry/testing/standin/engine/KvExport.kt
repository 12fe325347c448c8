package io.knapweedferry.testing.standin.engine

import io.knapweedferry.api.KvHandle
import kotlinx.coroutines.Job

/** KV cache that an engine keeps until another engine imports it. */
internal class KvExport(
    val handle: KvHandle,
    /** Prefill request that owns the memory. */
    val requestId: String,
    val tokens: Int,
    val computedTokens: Int,
) {
    /** Number of transfers in progress; the cache is not evicted while there are any. */
    var transfers = 0
    var expiry: Job? = null
}
