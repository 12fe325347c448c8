package io.knapweedferry.sidecar.server

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId

/** Identifies an attempt. Request ids are unique only within an organisation. */
internal data class AttemptKey(
    val organisation: OrganisationId,
    val requestId: RequestId,
    val attempt: Int,
)
