package io.knapweedferry.config.intent

import arrow.core.Either
import io.knapweedferry.config.settings.NamingStyle
import io.knapweedferry.config.settings.SettingsLoader
import io.knapweedferry.config.settings.SettingsProblem
import io.knapweedferry.config.state.ConfigState
import java.nio.file.Path

/**
 * Reads a complete desired configuration from a TOML file: tables `models`, `services`, `work`, `ranks`, `organisations` and
 * `endpoints`, with keys in snake_case and with roles and ranks in lower case.
 */
public object FleetFile {
    /** Reads [file] and reports all problems at once. */
    public fun read(file: Path): Either<List<SettingsProblem>, ConfigState> =
        SettingsLoader.load(file, ConfigState.serializer(), NamingStyle.FLEET)

    /** Parses [text]; [name] identifies the source in error messages. */
    public fun parse(
        name: String,
        text: String,
    ): Either<List<SettingsProblem>, ConfigState> = SettingsLoader.parse(name, text, ConfigState.serializer(), NamingStyle.FLEET)
}
