package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[gate]` of a sidecar. */
@Serializable
public data class GateSettings(
    val policy: GatePolicyName = GatePolicyName.RANKED,
    /** Time within which a reservation must be used. */
    @InRange(min = 10, max = 60_000)
    @SerialName("lease_ms")
    val leaseMs: Long = 2_000,
    /** Time that a stream waits for its caller to return after its session was lost. */
    @InRange(min = 0, max = 60_000)
    @SerialName("grace_ms")
    val graceMs: Long = 3_000,
    /** Time that the outcome of a claim is kept for a repeated question. */
    @InRange(min = 1_000, max = 86_400_000)
    @SerialName("outcome_keep_ms")
    val outcomeKeepMs: Long = 600_000,
)
