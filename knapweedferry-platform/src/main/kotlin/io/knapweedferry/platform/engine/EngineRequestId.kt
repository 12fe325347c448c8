package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/**
 * Id of a request inside an engine, made of sidecar incarnation, request and attempt, so that a replacement recognises
 * what a former incarnation left behind.
 */
@Serializable
@JvmInline
public value class EngineRequestId(
    public val value: String,
)
