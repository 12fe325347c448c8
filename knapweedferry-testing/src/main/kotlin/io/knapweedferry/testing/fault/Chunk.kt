package io.knapweedferry.testing.fault

import kotlin.time.TimeMark

/** Bytes on their way and the time of their delivery. */
internal class Chunk(
    val bytes: ByteArray,
    val size: Int,
    val due: TimeMark,
)
