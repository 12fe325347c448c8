package io.knapweedferry.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Format in which responses are printed. */
@Serializable
internal enum class OutputFormat {
    @SerialName("table")
    TABLE,

    @SerialName("json")
    JSON,
}
