package io.knapweedferry.cli

import io.knapweedferry.config.settings.InRange
import io.knapweedferry.config.settings.TextForm
import io.knapweedferry.config.settings.TextRule
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings file of the operator program; options on the command line take precedence. */
@Serializable
internal data class CliSettings(
    /** Entries, tried in this order. */
    @TextRule(TextForm.HTTP_URL)
    val entries: List<String> = emptyList(),
    @TextRule(TextForm.FILE)
    @SerialName("token_file")
    val tokenFile: String? = null,
    val output: OutputFormat = OutputFormat.TABLE,
    /** Time for the whole command, over all entries that are tried. */
    @InRange(min = 100, max = 600_000)
    @SerialName("timeout_ms")
    val timeoutMs: Long = 10_000,
)
