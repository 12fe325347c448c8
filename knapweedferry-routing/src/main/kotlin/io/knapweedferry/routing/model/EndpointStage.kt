package io.knapweedferry.routing.model

/** Part of a model request that an engine runs. */
public enum class EndpointStage {
    PREFILL,
    DECODE,
}
