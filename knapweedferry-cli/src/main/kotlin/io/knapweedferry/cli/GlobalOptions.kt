package io.knapweedferry.cli

import arrow.core.getOrElse
import io.knapweedferry.config.settings.SettingsLoader
import kotlinx.cli.ArgParser
import kotlinx.cli.ArgType
import kotlinx.cli.multiple
import java.nio.file.Path

/** Options that are valid with every command. */
internal class GlobalOptions(
    parser: ArgParser,
) {
    private val config by parser.option(ArgType.String, "config", "c", "TOML file with settings for this program")
    private val entry by parser
        .option(
            ArgType.String,
            "entry",
            "e",
            "Base URL of an entry; may be repeated, entries are tried in order",
        ).multiple()
    private val tokenFile by parser.option(ArgType.String, "token-file", "t", "File with the operator's token")
    private val output by parser.option(ArgType.Choice<OutputFormat>(), "output", "o", "Output format (table if not set)")
    private val timeoutMs by parser.option(ArgType.Int, "timeout-ms", description = "Timeout of the command in ms (10000 if not set)")

    /** Merges the settings file with the command line, which takes precedence. Throws [UsageException] if a value is invalid. */
    fun settings(): CliSettings {
        val file = config?.let { load(it) } ?: CliSettings()
        val settings =
            file.copy(
                entries = entry.ifEmpty { file.entries },
                tokenFile = tokenFile ?: file.tokenFile,
                output = output ?: file.output,
                timeoutMs = timeoutMs?.toLong() ?: file.timeoutMs,
            )
        val problem = SettingsLoader.check("command line", settings, CliSettings.serializer()).firstOrNull()
        if (problem != null) throw UsageException(problem.message)
        if (settings.entries.isEmpty()) throw UsageException("no entry given; use --entry, or set entries in the --config file")
        return settings
    }

    /** Reads the bearer token of the operator, without surrounding white space. */
    fun token(settings: CliSettings): String {
        val file = settings.tokenFile ?: throw UsageException("no token given; use --token-file, or set token_file in the --config file")
        return SettingsLoader.secret(Path.of(file)).getOrElse { throw UsageException(it.message) }.decodeToString()
    }

    private fun load(file: String): CliSettings =
        SettingsLoader.load(Path.of(file), CliSettings.serializer()).getOrElse { problems ->
            throw UsageException(problems.joinToString("\n") { it.message })
        }
}
