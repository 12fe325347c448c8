package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.organisation.OrganisationAccess

/** What is checked for the organisation of a request before it is forwarded. */
internal class OrganisationChecks(
    val access: OrganisationAccess,
    val quotas: QuotaCheck,
)
