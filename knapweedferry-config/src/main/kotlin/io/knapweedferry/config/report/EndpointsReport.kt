package io.knapweedferry.config.report

import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** All endpoints, sorted by id. */
@Serializable
public data class EndpointsReport(
    val revision: Revision,
    /** False if the platform's instance list was unavailable, so that only assigned endpoints are included. */
    @SerialName("list_answered")
    val listAvailable: Boolean,
    val endpoints: List<EndpointReport>,
)
