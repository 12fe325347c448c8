package io.knapweedferry.session

import kotlinx.coroutines.CompletableDeferred

/** Encoded frame in the write queue. */
internal class OutboundFrame(
    val bytes: ByteArray,
    /** Completed once the frame is written; null if no caller awaits that. */
    val written: CompletableDeferred<Unit>? = null,
)
