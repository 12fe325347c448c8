package io.knapweedferry.api.message

import kotlinx.serialization.Serializable

/** Message of the session protocol between entries and sidecars. */
@Serializable
public sealed interface Message
