package io.knapweedferry.policy.claim

import io.knapweedferry.api.ClaimId

/** Claims of one key. */
internal class KeyClaims(
    /** Time of the first claim on the clock of the log. */
    val firstAtMs: Long,
) {
    private val standings = HashMap<ClaimId, ClaimStanding>()

    var winner: ClaimAnswer.Claimed? = null
        private set

    fun standing(id: ClaimId): ClaimStanding = standings[id] ?: ClaimStanding.NOT_SEEN

    /** A record that was appended twice, because the response to the first append was lost, counts where it stood first. */
    fun claim(candidate: ClaimAnswer.Claimed) {
        val id = candidate.claim.claimId
        if (id in standings) return
        val wins = winner == null
        standings[id] = if (wins) ClaimStanding.WON else ClaimStanding.LOST
        if (wins) winner = candidate
    }

    /** A void of a claim that was not seen before has no effect. */
    fun void(id: ClaimId) {
        if (id !in standings) return
        standings[id] = ClaimStanding.VOIDED
        if (winner?.claim?.claimId == id) winner = null
    }
}
