package io.knapweedferry.routing.call

import io.knapweedferry.api.OrganisationId

/** Who sent a request, as determined by the entry from the API key. */
public data class CallerIdentity(
    /** Null if the request belongs to no organisation. */
    val organisation: OrganisationId?,
)
