package io.knapweedferry.config.stream

import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Revision
import kotlinx.serialization.Serializable

/** What the fold decided about one confirmation. */
@Serializable
public data class Decision(
    /** Offset of the confirmation; the revision if it was accepted. */
    val offset: Long,
    val recordId: RecordId,
    val plan: PlanId,
    val confirmedBy: OperatorName,
    val proposedBy: OperatorName? = null,
    val atMs: Long,
    val summary: String = "",
    /** Null if the confirmation was accepted. */
    val rejection: RejectionReason? = null,
    /** Revision of the accepted change that came first, if the confirmation was rejected for it. */
    val winner: Revision? = null,
) {
    /** True if the confirmation counts. */
    val accepted: Boolean get() = rejection == null

    /** Revision that an accepted confirmation leads to. */
    val revision: Revision get() = Revision(offset)
}
