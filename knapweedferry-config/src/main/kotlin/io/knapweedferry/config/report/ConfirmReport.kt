package io.knapweedferry.config.report

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Response to an accepted confirmation. */
@Serializable
public data class ConfirmReport(
    val plan: PlanId,
    val revision: Revision,
    val summary: String,
    /** True if the plan was already accepted, for example by an earlier attempt of the same confirmation. */
    @SerialName("already_accepted")
    val alreadyAccepted: Boolean,
)
