package io.knapweedferry.config.report

import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Answer to a confirmation that counts. */
@Serializable
public data class ConfirmReport(
    val plan: PlanId,
    val revision: Revision,
    val summary: String,
    /** True if the plan had been accepted before, for example when a confirmation is repeated. */
    @SerialName("already_accepted")
    val alreadyAccepted: Boolean,
)
