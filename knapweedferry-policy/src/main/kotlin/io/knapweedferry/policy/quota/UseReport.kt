package io.knapweedferry.policy.quota

import io.knapweedferry.api.OrganisationId

/** Use of all organisations that one entry reports. An organisation that is left out has no use worth reporting. */
public data class UseReport(
    val node: String,
    /** Wall clock at the start of the process; tells incarnations apart. */
    val startedAtMs: Long,
    val uses: Map<OrganisationId, OrganisationUse>,
    /** Time from the start of the process to the report; tells which of two reports is older, and how long the use took. */
    val uptimeMs: Long = 0,
)
