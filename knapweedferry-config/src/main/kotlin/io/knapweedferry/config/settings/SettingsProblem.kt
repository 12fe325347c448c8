package io.knapweedferry.config.settings

/** One fault in a settings file. */
public data class SettingsProblem(
    val file: String,
    /** Path of the setting, such as `session.key_file` or `endpoint[1].slots`; empty if the file as a whole is at fault. */
    val key: String,
    val detail: String,
    val remedy: String,
) {
    /** Text for a person: file, key, fault and remedy. */
    val message: String get() = if (key.isEmpty()) "$file: $detail; $remedy" else "$file: $key $detail; $remedy"
}
