package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.message.Attach
import io.knapweedferry.entry.fleet.FleetMember

/** Where an attempt decodes: either under a new [lease], or by attaching to a running stream with [attach]. */
internal data class Placement(
    val member: FleetMember,
    val lease: LeaseId?,
    val attach: Attach?,
)
