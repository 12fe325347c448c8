package io.knapweedferry.routing.model

import io.knapweedferry.api.OrganisationId

/** Customer whose callers share API keys, a priority and a quota. */
public data class Organisation(
    val id: OrganisationId,
    val apiKeys: Set<ApiKey>,
    /** Takes precedence over the priority of the route; null if the route decides. 0 is the most urgent. */
    val priority: Int?,
    /** Null if the organisation has no limit. */
    val quota: OrganisationQuota?,
)
