package io.knapweedferry.session

import kotlinx.coroutines.CompletableDeferred

/** Encoded frame that waits to be written. */
internal class OutboundFrame(
    val bytes: ByteArray,
    /** Completed once the frame is written, if somebody waits for that. */
    val written: CompletableDeferred<Unit>? = null,
)
