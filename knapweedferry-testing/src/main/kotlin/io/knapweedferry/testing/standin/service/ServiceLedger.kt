package io.knapweedferry.testing.standin.service

import kotlinx.serialization.Serializable

/** Executions of a plain service. */
@Serializable
internal data class ServiceLedger(
    val executions: Long,
    val executionsByKey: Map<String, Int>,
    val executionsByRequestId: Map<String, Int>,
    val executionsByOperation: Map<String, Int>,
)
