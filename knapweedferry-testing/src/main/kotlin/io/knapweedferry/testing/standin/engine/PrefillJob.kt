package io.knapweedferry.testing.standin.engine

import kotlinx.coroutines.CompletableDeferred

/** One prefill in the queue of an engine. */
internal class PrefillJob(
    val id: String,
    val prompt: String,
    /** Tokens whose cache the request holds at the end. */
    val totalTokens: Int,
    /** Tokens whose cache the request holds already; null to look into the prefix cache. */
    val knownTokens: Int?,
    val priority: Int,
    val sequence: Long,
) {
    /** Completes with the number of tokens that needed no computing. */
    val done = CompletableDeferred<Int>()
    var cachedTokens = 0
    var computedTokens = 0

    /** Tokens still to compute; null before the start. */
    var leftTokens: Int? = null
}
