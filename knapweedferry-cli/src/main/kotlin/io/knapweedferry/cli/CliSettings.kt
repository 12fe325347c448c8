package io.knapweedferry.cli

import io.knapweedferry.config.settings.InRange
import io.knapweedferry.config.settings.TextFormat
import io.knapweedferry.config.settings.TextRule
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings file of the command-line client; command-line options take precedence. */
@Serializable
internal data class CliSettings(
    /** Base URLs of the entries, tried in this order. */
    @TextRule(TextFormat.HTTP_URL)
    val entries: List<String> = emptyList(),
    @TextRule(TextFormat.FILE)
    @SerialName("token_file")
    val tokenFile: String? = null,
    val output: OutputFormat = OutputFormat.TABLE,
    /** Timeout of the whole command, shared by all entries that are tried. */
    @InRange(min = 100, max = 600_000)
    @SerialName("timeout_ms")
    val timeoutMs: Long = 10_000,
)
