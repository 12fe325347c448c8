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

/** Reads settings files and reports all their faults at once. */
public object SettingsLoader {
    /** Shortest session key; HMAC-SHA-256 gains nothing from a longer one than 32 bytes and is weak below 16. */
    private const val MIN_KEY_BYTES = 16

    /** Reads the settings of an entry. */
    public fun entry(file: Path): Either<List<SettingsProblem>, EntrySettings> =
        load(file, EntrySettings.serializer()).flatMap { settings ->
            val names = settings.operators.map { it.name.value }
            val problems =
                heartbeats(file, settings.session.heartbeatIntervalMs, settings.session.heartbeatTimeoutMs) +
                    duplicates(file, "operator", names)
            if (problems.isEmpty()) settings.right() else problems.left()
        }

    /** Reads the settings of a sidecar. */
    public fun sidecar(file: Path): Either<List<SettingsProblem>, SidecarSettings> =
        load(file, SidecarSettings.serializer()).flatMap { settings ->
            val ids = settings.endpoints.map { it.id.value }
            val problems =
                heartbeats(file, settings.session.heartbeatIntervalMs, settings.session.heartbeatTimeoutMs) +
                    duplicates(file, "endpoint", ids)
            if (problems.isEmpty()) settings.right() else problems.left()
        }

    /** Reads the shared session key that [keyFile] names; surrounding white space is not part of the key. */
    public fun sessionKey(keyFile: String): Either<SettingsProblem, ByteArray> =
        secret(Path.of(keyFile)).flatMap { key ->
            if (key.size < MIN_KEY_BYTES) {
                SettingsProblem(keyFile, "", "holds a key of fewer than $MIN_KEY_BYTES bytes", "write a longer random key").left()
            } else {
                key.right()
            }
        }

    /** Reads a secret from [file]; surrounding white space is not part of it. */
    public fun secret(file: Path): Either<SettingsProblem, ByteArray> =
        try {
            file
                .readBytes()
                .decodeToString()
                .trim()
                .encodeToByteArray()
                .right()
        } catch (fault: IOException) {
            unreadable(file, fault).left()
        }

    /** Reads [file] as the class of [serializer]; unknown keys, wrong types and values out of range are faults. */
    public fun <T> load(
        file: Path,
        serializer: KSerializer<T>,
        style: TreeStyle = TreeStyle.SETTINGS,
    ): Either<List<SettingsProblem>, T> {
        val text =
            try {
                file.readText()
            } catch (fault: IOException) {
                return listOf(unreadable(file, fault)).left()
            }
        return parse(file.toString(), text, serializer, style)
    }

    /** Reads [text] as the class of [serializer]; [file] only names the source in messages. */
    public fun <T> parse(
        file: String,
        text: String,
        serializer: KSerializer<T>,
        style: TreeStyle = TreeStyle.SETTINGS,
    ): Either<List<SettingsProblem>, T> =
        TomlTree
            .parse(text)
            .mapLeft { listOf(SettingsProblem(file, "", "is not valid TOML: $it", "correct the syntax")) }
            .flatMap { tree -> checked(file, tree, serializer, style) }

    /** Checks values that did not come from a file, such as those of a command line; [source] names where they came from. */
    public fun <T> check(
        source: String,
        settings: T,
        serializer: KSerializer<T>,
    ): List<SettingsProblem> {
        val tree = Json { explicitNulls = false }.encodeToJsonElement(serializer, settings) as JsonObject
        return TreeCheck(source, TreeStyle.SETTINGS).problems(tree, serializer.descriptor)
    }

    private fun <T> checked(
        file: String,
        tree: JsonObject,
        serializer: KSerializer<T>,
        style: TreeStyle,
    ): Either<List<SettingsProblem>, T> {
        val problems = TreeCheck(file, style).problems(tree, serializer.descriptor)
        if (problems.isNotEmpty()) return problems.left()
        return decode(file, tree, serializer, style.json)
    }

    private fun <T> decode(
        file: String,
        tree: JsonObject,
        serializer: DeserializationStrategy<T>,
        json: Json,
    ): Either<List<SettingsProblem>, T> =
        try {
            json.decodeFromJsonElement(serializer, tree).right()
        } catch (fault: SerializationException) {
            listOf(SettingsProblem(file, "", "cannot be read: ${fault.message}", "correct the value")).left()
        }

    private fun heartbeats(
        file: Path,
        intervalMs: Long,
        timeoutMs: Long,
    ): List<SettingsProblem> {
        // With less than two intervals a single delayed heartbeat would close a healthy session.
        if (timeoutMs >= 2 * intervalMs) return emptyList()
        val remedy = "set it to at least twice heartbeat_interval_ms, which is $intervalMs"
        return listOf(SettingsProblem(file.toString(), "session.heartbeat_timeout_ms", "is $timeoutMs, which is too short", remedy))
    }

    private fun duplicates(
        file: Path,
        section: String,
        names: List<String>,
    ): List<SettingsProblem> =
        names.groupingBy { it }.eachCount().filterValues { it > 1 }.keys.map {
            SettingsProblem(file.toString(), section, "names \"$it\" more than once", "give each [[$section]] its own name")
        }

    private fun unreadable(
        file: Path,
        fault: IOException,
    ): SettingsProblem =
        SettingsProblem(file.toString(), "", "cannot be read (${fault.javaClass.simpleName})", "check that it exists and is readable")
}
