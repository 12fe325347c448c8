package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** References the claim record that authorises a single dispatch of a non-repeatable operation. */
@Serializable
public data class ClaimRef(
    val claimId: ClaimId,
    val key: IdempotencyKey,
    val offset: Long,
    /** Incarnation of the sidecar that may dispatch the operation; every other incarnation refuses it. */
    val incarnation: Incarnation,
    /** Stream that contains the claim record and, if the claim was voided, its void record. */
    val stream: StreamName,
)
