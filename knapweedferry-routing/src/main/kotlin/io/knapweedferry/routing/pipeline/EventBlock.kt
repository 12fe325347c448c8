package io.knapweedferry.routing.pipeline

/** Consecutive complete events of a server-sent event stream. */
internal class EventBlock(
    /** The events as they arrived, each with the blank line that ends it. */
    val bytes: ByteArray,
    /** Value of the last `id` field; null if no event has one. */
    val lastEventId: String?,
    /** Numeric ids of the events with data; those with other ids, or without one, are left out. */
    val ids: LongArray,
    /** Number of events with data; an engine may also send comments to keep the connection open. */
    val dataEvents: Int,
    /** False if text of another kind is among the events, such as an error message where the next event should be. */
    val isWellFormed: Boolean,
)
