package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId

/** All claims of one key. */
internal class KeyClaims(
    /** Time of the first claim, on the clock of the log. */
    val firstClaimAtMs: Long,
) {
    private val standingById = HashMap<ClaimId, ClaimStanding>()

    var winner: ClaimAnswer.Claimed? = null
        private set

    fun standing(id: ClaimId): ClaimStanding = standingById[id] ?: ClaimStanding.NOT_SEEN

    /** Applies a claim. Only the first of duplicate appends counts; they occur when the response to an append is lost. */
    fun claim(candidate: ClaimAnswer.Claimed) {
        val id = candidate.claim.claimId
        if (id in standingById) return
        val wins = winner == null
        standingById[id] = if (wins) ClaimStanding.WON else ClaimStanding.LOST
        if (wins) winner = candidate
    }

    /** Applies a void. A void that precedes its claim has no effect. */
    fun void(id: ClaimId) {
        if (id !in standingById) return
        standingById[id] = ClaimStanding.VOIDED
        if (winner?.claim?.claimId == id) winner = null
    }
}
