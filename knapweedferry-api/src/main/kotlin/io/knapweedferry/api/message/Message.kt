package io.knapweedferry.api.message

import kotlinx.serialization.Serializable

/** Anything that travels in an exchange between an entry and a sidecar. */
@Serializable
public sealed interface Message
