package io.knapweedferry.api.message

import io.knapweedferry.api.KvSource
import io.knapweedferry.api.LoadSummary
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Reports a completed prefill. The engine keeps the KV cache available for export for a short time only. */
@Serializable
@SerialName("prefilled")
public data class Prefilled(
    val source: KvSource,
    val cachedTokens: Int,
    val queuedMs: Long,
    val prefillMs: Long,
    val load: LoadSummary,
) : Message
