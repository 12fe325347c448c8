package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.Rank
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.config.state.OrganisationPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against requests with a rank above the highest rank of their organisation. */
internal class RankRuleSpec {
    @ParameterizedTest(name = "asked for {0}, work {1}, limit {2}: {3}")
    @CsvSource(
        ",         ,           URGENT,     STANDARD",
        ",         URGENT,     URGENT,     URGENT",
        "urgent,   BACKGROUND, URGENT,     URGENT",
        "Background, URGENT,   URGENT,     BACKGROUND",
        ",         ,           BACKGROUND, BACKGROUND",
        "urgent,   ,           STANDARD,   RANK_NOT_ALLOWED",
        ",         URGENT,     STANDARD,   RANK_NOT_ALLOWED",
        "top,      ,           URGENT,     UNKNOWN_RANK",
    )
    fun `uses the requested rank, then that of the work kind, up to the highest allowed`(
        requested: String?,
        work: Rank?,
        limit: Rank,
        expected: String,
    ) {
        val result = RankRule().rankOf(requested, work, OrganisationPolicy(emptyList(), limit))
        assertEquals(expected, result.fold({ it.reason.name }, { it.name }))
        assertEquals(expected in RefusalReason.entries.map { it.name }, result.isLeft())
    }
}
