package io.knapweedferry.config.report

import io.knapweedferry.api.Revision
import io.knapweedferry.config.stream.Decision
import kotlinx.serialization.Serializable

/** Most recent accepted and rejected confirmations, newest first. */
@Serializable
public data class HistoryReport(
    val revision: Revision,
    val decisions: List<Decision>,
)
