package io.knapweedferry.config.settings

/** Problem found in a settings file. */
public data class SettingsProblem(
    val file: String,
    /** Path of the setting, such as `session.key_file` or `endpoint[1].slots`; empty if the problem concerns the whole file. */
    val key: String,
    val detail: String,
    val remedy: String,
) {
    /** Human-readable message with file, key, detail and remedy. */
    val message: String get() = if (key.isEmpty()) "$file: $detail; $remedy" else "$file: $key $detail; $remedy"
}
