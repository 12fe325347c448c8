package io.knapweedferry.testing.standin.service

import kotlinx.serialization.Serializable

/** Numbers of executions of a plain service. */
@Serializable
internal data class ServiceStatistics(
    val executions: Long,
    val executionsByKey: Map<String, Int>,
    val executionsByRequestId: Map<String, Int>,
    val executionsByOperation: Map<String, Int>,
)
