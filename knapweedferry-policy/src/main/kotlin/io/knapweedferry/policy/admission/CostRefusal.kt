package io.knapweedferry.policy.admission

/** Decision of [CostPlanner] to refuse one request. */
public data class CostRefusal(
    val cause: RefusalCause,
    /** Expected wait of the request if it were not refused. */
    val waitMs: Double,
    /** Expected time until engines have granted the requests that go on waiting; a retry before that finds less room. */
    val roomAfterMs: Double,
)
