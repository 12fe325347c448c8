package io.knapweedferry.config.stream

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import kotlinx.serialization.Serializable

/** Acceptance or rejection of a confirmation. */
@Serializable
public data class Decision(
    /** Offset of the confirmation record. */
    val offset: Long,
    val recordId: RecordId,
    val plan: PlanId,
    val confirmedBy: OperatorName,
    val proposedBy: OperatorName? = null,
    val atMs: Long,
    val summary: String = "",
    /** Null if the confirmation was accepted. */
    val rejection: RejectionReason? = null,
    /** Revision of the accepted change that caused the rejection, if any. */
    val winner: Revision? = null,
) {
    val accepted: Boolean get() = rejection == null

    /** Revision created by the confirmation; only valid if it was accepted. */
    val revision: Revision get() = Revision(offset)
}
