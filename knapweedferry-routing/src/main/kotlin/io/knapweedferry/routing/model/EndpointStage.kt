package io.knapweedferry.routing.model

/** Phase of model requests that an engine works on. */
public enum class EndpointStage {
    PREFILL,
    DECODE,
}
