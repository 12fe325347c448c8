package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.config.state.OrganisationPolicy

/** Determines the rank of a request: the requested one, else that of its work kind, up to the organisation's highest rank. */
internal class RankRule {
    fun rankOf(
        requested: String?,
        workRank: Rank?,
        organisation: OrganisationPolicy,
    ): Either<Refusal, Rank> {
        val rank = if (requested == null) workRank ?: Rank.STANDARD else parse(requested) ?: return unknownRank(requested)
        if (rank >= organisation.highestRank) return rank.right()
        if (requested == null && workRank == null) return organisation.highestRank.right()
        return Refusal(RefusalReason.RANK_NOT_ALLOWED, "rank ${rank.name.lowercase()} is above the organisation's highest rank").left()
    }

    private fun parse(text: String): Rank? = Rank.entries.firstOrNull { it.name.equals(text, ignoreCase = true) }

    private fun unknownRank(text: String) = Refusal(RefusalReason.UNKNOWN_RANK, "unknown rank '${text.take(MAX_ECHO_CHARS)}'").left()

    private companion object {
        /** Limits how much of an invalid value is echoed in the error. */
        const val MAX_ECHO_CHARS = 40
    }
}
