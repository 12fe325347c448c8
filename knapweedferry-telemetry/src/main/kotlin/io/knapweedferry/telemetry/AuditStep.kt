package io.knapweedferry.telemetry

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** One decision in the processing of a request. The short serial names keep the records small. */
@Serializable
public data class AuditStep(
    /** Lower-case name of a [TraceStage]. A string rather than the enum, so that readers accept stages added in newer versions. */
    @SerialName("s")
    val stage: String,
    @SerialName("d")
    val decision: String,
    @SerialName("w")
    val reason: String = "",
    @SerialName("i")
    val inputs: Map<String, String> = emptyMap(),
    /** Time since the start of the request. */
    @SerialName("ms")
    val elapsedMs: Long,
)
