package io.knapweedferry.testing.fault

import kotlin.time.TimeMark

/** Received bytes and the time at which to deliver them. */
internal class Chunk(
    val bytes: ByteArray,
    val size: Int,
    val deliverAt: TimeMark,
)
