package io.knapweedferry.cli

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** How answers are printed. */
@Serializable
internal enum class OutputFormat {
    @SerialName("table")
    TABLE,

    @SerialName("json")
    JSON,
}
