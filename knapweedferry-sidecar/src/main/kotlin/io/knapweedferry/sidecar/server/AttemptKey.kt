package io.knapweedferry.sidecar.server

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.RequestId

/** One attempt of a request; request ids of different organisations may be equal. */
internal data class AttemptKey(
    val organisation: OrganisationId,
    val requestId: RequestId,
    val attempt: Int,
)
