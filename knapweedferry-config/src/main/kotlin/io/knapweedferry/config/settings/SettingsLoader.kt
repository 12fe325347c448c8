package io.knapweedferry.config.settings

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonObject
import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readBytes
import kotlin.io.path.readText

/** Loads settings files and reports all problems of a file at once. */
public object SettingsLoader {
    /** Minimum session key length. HMAC-SHA-256 is weak below 16 bytes and does not benefit from more than 32. */
    private const val MIN_KEY_BYTES = 16

    /** Loads the settings of an entry. */
    public fun entry(file: Path): Either<List<SettingsProblem>, EntrySettings> =
        load(file, EntrySettings.serializer()).flatMap { settings ->
            val names = settings.operators.map { it.name.value }
            val problems =
                heartbeatProblems(file, settings.session.heartbeatIntervalMs, settings.session.heartbeatTimeoutMs) +
                    duplicateProblems(file, "operator", names)
            if (problems.isEmpty()) settings.right() else problems.left()
        }

    /** Loads the settings of a sidecar. */
    public fun sidecar(file: Path): Either<List<SettingsProblem>, SidecarSettings> =
        load(file, SidecarSettings.serializer()).flatMap { settings ->
            val ids = settings.endpoints.map { it.id.value }
            val problems =
                heartbeatProblems(file, settings.session.heartbeatIntervalMs, settings.session.heartbeatTimeoutMs) +
                    duplicateProblems(file, "endpoint", ids)
            if (problems.isEmpty()) settings.right() else problems.left()
        }

    /** Reads the shared session key from [keyFile], without surrounding whitespace. */
    public fun sessionKey(keyFile: String): Either<SettingsProblem, ByteArray> =
        secret(Path.of(keyFile)).flatMap { key ->
            if (key.size < MIN_KEY_BYTES) {
                SettingsProblem(keyFile, "", "holds a key of fewer than $MIN_KEY_BYTES bytes", "write a longer random key").left()
            } else {
                key.right()
            }
        }

    /** Reads a secret from [file], without surrounding whitespace. */
    public fun secret(file: Path): Either<SettingsProblem, ByteArray> =
        try {
            file
                .readBytes()
                .decodeToString()
                .trim()
                .encodeToByteArray()
                .right()
        } catch (exception: IOException) {
            unreadableFile(file, exception).left()
        }

    /** Loads [file] as the class of [serializer]. Unknown keys, wrong types and values out of range are reported as problems. */
    public fun <T> load(
        file: Path,
        serializer: KSerializer<T>,
        naming: NamingStyle = NamingStyle.SETTINGS,
    ): Either<List<SettingsProblem>, T> {
        val text =
            try {
                file.readText()
            } catch (exception: IOException) {
                return listOf(unreadableFile(file, exception)).left()
            }
        return parse(file.toString(), text, serializer, naming)
    }

    /** Parses [text] as the class of [serializer]; [file] identifies the source in error messages. */
    public fun <T> parse(
        file: String,
        text: String,
        serializer: KSerializer<T>,
        naming: NamingStyle = NamingStyle.SETTINGS,
    ): Either<List<SettingsProblem>, T> =
        TomlTree
            .parse(text)
            .mapLeft { listOf(SettingsProblem(file, "", "is not valid TOML: $it", "correct the syntax")) }
            .flatMap { tree -> decodeValid(file, tree, serializer, naming) }

    /** Validates settings that were not read from a file, such as command line options; [source] identifies them in messages. */
    public fun <T> check(
        source: String,
        settings: T,
        serializer: KSerializer<T>,
    ): List<SettingsProblem> {
        val tree = Json { explicitNulls = false }.encodeToJsonElement(serializer, settings) as JsonObject
        return SettingsValidator(source, NamingStyle.SETTINGS).validate(tree, serializer.descriptor)
    }

    private fun <T> decodeValid(
        file: String,
        tree: JsonObject,
        serializer: KSerializer<T>,
        naming: NamingStyle,
    ): Either<List<SettingsProblem>, T> {
        val problems = SettingsValidator(file, naming).validate(tree, serializer.descriptor)
        if (problems.isNotEmpty()) return problems.left()
        return decode(file, tree, serializer, naming.json)
    }

    private fun <T> decode(
        file: String,
        tree: JsonObject,
        serializer: DeserializationStrategy<T>,
        json: Json,
    ): Either<List<SettingsProblem>, T> =
        try {
            json.decodeFromJsonElement(serializer, tree).right()
        } catch (exception: SerializationException) {
            listOf(SettingsProblem(file, "", "cannot be read: ${exception.message}", "correct the value")).left()
        }

    private fun heartbeatProblems(
        file: Path,
        intervalMs: Long,
        timeoutMs: Long,
    ): List<SettingsProblem> {
        // With a shorter timeout a single delayed heartbeat would close a healthy session.
        if (timeoutMs >= 2 * intervalMs) return emptyList()
        val remedy = "set it to at least twice heartbeat_interval_ms, which is $intervalMs"
        return listOf(SettingsProblem(file.toString(), "session.heartbeat_timeout_ms", "is $timeoutMs, which is too short", remedy))
    }

    private fun duplicateProblems(
        file: Path,
        section: String,
        names: List<String>,
    ): List<SettingsProblem> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.map {
            SettingsProblem(file.toString(), section, "names \"$it\" more than once", "give each [[$section]] its own name")
        }

    private fun unreadableFile(
        file: Path,
        exception: IOException,
    ): SettingsProblem =
        SettingsProblem(file.toString(), "", "cannot be read (${exception.javaClass.simpleName})", "check that it exists and is readable")
}
