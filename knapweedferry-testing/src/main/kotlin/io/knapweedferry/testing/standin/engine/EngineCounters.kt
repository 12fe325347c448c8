package io.knapweedferry.testing.standin.engine

import kotlinx.serialization.Serializable

/** Counters of one engine; modified only on its dispatcher. */
@Serializable
internal data class EngineCounters(
    var prefills: Long = 0,
    var prefilledTokens: Long = 0,
    var cachedTokens: Long = 0,
    /** Exported caches that another engine imported. */
    var importedExports: Long = 0,
    /** Prefills whose result was never used: exports that were not imported, and prefills cancelled in progress. */
    var wastedPrefills: Long = 0,
    var wastedPrefillTokens: Long = 0,
    var imports: Long = 0,
    var failedImports: Long = 0,
    var startedStreams: Long = 0,
    var reattachedStreams: Long = 0,
    var finishedStreams: Long = 0,
    var cancelledStreams: Long = 0,
    var preemptedStreams: Long = 0,
    var brokenConnections: Long = 0,
    var generatedTokens: Long = 0,
    var acceptedOrders: Long = 0,
    var refusedOrders: Long = 0,
    var crashes: Long = 0,
)
