package io.knapweedferry.config.settings

/** One setting as the settings page lists it. */
public data class SettingRow(
    /** Section as it is written in a file, such as `[http]`; empty for keys outside of sections. */
    val section: String,
    val key: String,
    val type: String,
    val unit: String,
    /** Range of a number or form of a text. */
    val range: String,
    /** Default, "required" or "none". */
    val default: String,
) {
    /** The row in a Markdown table, up to the column with the meaning. */
    val markdown: String get() = "| `$key` | $type | $unit | $range | $default |"
}
