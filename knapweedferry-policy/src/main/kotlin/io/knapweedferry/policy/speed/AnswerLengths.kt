package io.knapweedferry.policy.speed

/** Relation of the expected output tokens of requests to the events of their answers, learned from completed runs. */
public class AnswerLengths {
    private var tokens = 0.0
    private var events = 0.0

    /** Null until a run is known. */
    public val eventsPerToken: Double? get() = if (tokens > 0) events / tokens else null

    public fun recordRun(
        expectedTokens: Int,
        runEvents: Int,
    ) {
        tokens = tokens * DECAY + expectedTokens
        events = events * DECAY + runEvents
    }

    private companion object {
        /** About the last 100 runs count: the expectation for a single one is often wrong by half. */
        const val DECAY = 0.99
    }
}
