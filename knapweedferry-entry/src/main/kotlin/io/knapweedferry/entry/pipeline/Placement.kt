package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.LeaseId
import io.knapweedferry.api.message.Attach
import io.knapweedferry.entry.fleet.FleetMember

/** Where an attempt decodes: by a fresh lease, or by taking over the stream that [attach] names. */
internal data class Placement(
    val member: FleetMember,
    val lease: LeaseId?,
    val attach: Attach?,
)
