package io.knapweedferry.policy.speed

/** Times that one engine needs, in microseconds; null where nothing is known. */
public data class EngineTimes(
    /** To read one prompt token in the prefill stage. */
    val prefillUsPerToken: Double? = null,
    /** Between two events of a stream. */
    val decodeUsPerEvent: Double? = null,
)
