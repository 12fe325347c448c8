package io.knapweedferry.testing.standin.engine

import kotlinx.coroutines.CompletableDeferred

/** Prefill in the queue of an engine. */
internal class PrefillJob(
    val id: String,
    val prompt: String,
    /** Tokens whose KV cache the request holds on completion. */
    val totalTokens: Int,
    /** Tokens whose KV cache the request already holds; null to look them up in the prefix cache. */
    val knownTokens: Int?,
    val priority: Int,
    val sequence: Long,
) {
    /** Completes with the number of tokens that were cached. */
    val done = CompletableDeferred<Int>()
    var cachedTokens = 0
    var computedTokens = 0

    /** Tokens that are still to be computed; null before the first chunk. */
    var remainingTokens: Int? = null
}
