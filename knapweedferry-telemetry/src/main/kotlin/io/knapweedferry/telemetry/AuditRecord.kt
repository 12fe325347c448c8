package io.knapweedferry.telemetry

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** All decisions that one process made for a request. The short serial names keep the records small. */
@Serializable
public data class AuditRecord(
    @SerialName("r")
    val requestId: RequestId,
    /** Null if the caller was not authenticated. */
    @SerialName("o")
    val organisation: OrganisationId? = null,
    /** Arrival of the request, on the clock of the process. */
    @SerialName("t")
    val startedAtMs: Long,
    @SerialName("ms")
    val elapsedMs: Long,
    @SerialName("e")
    val outcome: String,
    @SerialName("s")
    val steps: List<AuditStep>,
    /** Number of steps left out because the record reached its size limit. */
    @SerialName("x")
    val omittedSteps: Int = 0,
)
