package io.knapweedferry.telemetry

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** All decisions that one process took about a request. */
@Serializable
public data class AuditRecord(
    @SerialName("r")
    val requestId: RequestId,
    /** Null if the caller could not be authenticated. */
    @SerialName("o")
    val organisation: OrganisationId? = null,
    /** Start of the request on the clock of the process. */
    @SerialName("t")
    val startedAtMs: Long,
    @SerialName("ms")
    val elapsedMs: Long,
    @SerialName("e")
    val outcome: String,
    @SerialName("s")
    val steps: List<AuditStep>,
    /** Steps beyond the limit of a record. */
    @SerialName("x")
    val omittedSteps: Int = 0,
)
