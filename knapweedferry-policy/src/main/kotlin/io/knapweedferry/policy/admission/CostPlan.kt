package io.knapweedferry.policy.admission

/** Decision of [CostPlanner] about a list of requests; requests are named by their index in that list. */
public class CostPlan(
    /** Requests that go on waiting, the next one to be served first. */
    public val order: List<Int>,
    public val refusals: Map<Int, CostRefusal>,
    /** Expected waits of the requests in [order], in ms; empty if the rate of grants is unknown. */
    public val waitsMs: Map<Int, Double> = emptyMap(),
)
