package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Identifies a part of a prompt that several requests may share, such as a system prompt or a document. */
@Serializable
@JvmInline
public value class PromptPartId(
    public val value: String,
)
