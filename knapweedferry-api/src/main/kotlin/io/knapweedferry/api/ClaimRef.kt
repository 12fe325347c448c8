package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Points at the claim that entitles one dispatch. */
@Serializable
public data class ClaimRef(
    val claimId: ClaimId,
    val key: IdempotencyKey,
    val offset: Long,
    /** Incarnation of the sidecar that may dispatch; any other refuses. */
    val incarnation: Incarnation,
    /** Stream that holds the claim, and its void if there is one. */
    val stream: StreamName,
)
