package io.knapweedferry.platform.engine

import kotlinx.serialization.Serializable

/**
 * Id of a request within an engine. It contains the sidecar incarnation, the request and the attempt, so that a restarted
 * sidecar recognises requests left over from a previous incarnation.
 */
@Serializable
@JvmInline
public value class EngineRequestId(
    public val value: String,
)
