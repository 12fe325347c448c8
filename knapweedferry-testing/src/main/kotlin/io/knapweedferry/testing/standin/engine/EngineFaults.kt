package io.knapweedferry.testing.standin.engine

import io.knapweedferry.testing.standin.http.Outage
import kotlinx.serialization.Serializable

/** Injected faults of an engine. */
@Serializable
internal data class EngineFaults(
    /** Applies to new requests; streams in progress are unaffected. */
    val outage: Outage = Outage.NONE,
    /** Latency added to each request. */
    val delayMs: Long = 0,
    /** Imports to and exports from this engine make no progress. */
    val transferStalled: Boolean = false,
    /** Streams stay open but produce no tokens. */
    val decodeStalled: Boolean = false,
    /** Factor on the duration of prefill and decode steps. */
    val slowFactor: Double = 1.0,
)
