package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[gate]` of a sidecar: admission control. */
@Serializable
public data class GateSettings(
    val policy: GatePolicyName = GatePolicyName.RANKED,
    /** Time after which an unused reservation expires. */
    @InRange(min = 10, max = 60_000)
    @SerialName("lease_ms")
    val leaseMs: Long = 2_000,
    /** Time that a stream is kept after its session was lost, so that the entry can attach to it again. */
    @InRange(min = 0, max = 60_000)
    @SerialName("grace_ms")
    val graceMs: Long = 3_000,
    /** Time that the outcome of a claim is kept for repeated queries. */
    @InRange(min = 1_000, max = 86_400_000)
    @SerialName("outcome_keep_ms")
    val outcomeKeepMs: Long = 600_000,
)
