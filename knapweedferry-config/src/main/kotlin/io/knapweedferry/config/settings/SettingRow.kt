package io.knapweedferry.config.settings

/** One setting in the reference documentation. */
public data class SettingRow(
    /** Section header, such as `[http]`; empty for top-level keys. */
    val section: String,
    val key: String,
    val type: String,
    val unit: String,
    /** Range of a number or format of a string. */
    val range: String,
    /** Default value, "required" or "none". */
    val default: String,
) {
    /** Markdown table row without the last column, the description. */
    val markdown: String get() = "| `$key` | $type | $unit | $range | $default |"
}
