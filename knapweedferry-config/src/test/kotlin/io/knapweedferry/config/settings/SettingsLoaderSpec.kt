package io.knapweedferry.config.settings

import arrow.core.getOrElse
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import kotlin.io.path.readText
import kotlin.io.path.writeText

/** Guards against accepting an invalid settings file, and against errors that lack the file, key or remedy. */
internal class SettingsLoaderSpec {
    @TempDir
    private lateinit var directory: Path

    private class Case(
        val edit: (String) -> String,
        val key: String,
        val remedy: String,
    )

    private val invalidCases =
        listOf(
            Case({ "$it\n[colour]\nname = \"blue\"\n" }, "colour", "remove it"),
            Case({ it.replace("budget_percent = 20", "budget_percent = 20\nspare = 1") }, "retry.spare", "max_attempts"),
            Case({ it.replace("budget_percent = 20", "budget_percent = \"20\"") }, "retry.budget_percent", "a whole number"),
            Case({ it.replace("budget_percent = 20", "budget_percent = 101") }, "retry.budget_percent", "from 0 to 100"),
            Case({ it.replace("127.0.0.1:8080", "localhost:8080") }, "http.address", "an IP address and a port"),
            Case({ it.replace("127.0.0.1:8080", "127.0.0.256:8080") }, "http.address", "an IP address and a port"),
            Case({ it.replace("127.0.0.1:8080", "[::g]:8080") }, "http.address", "an IP address and a port"),
            Case({ it.replace("127.0.0.1:8080", "127.0.0.1:65536") }, "http.address", "an IP address and a port"),
            Case({ it.replace("http://127.0.0.1:9000", "ftp://127.0.0.1") }, "platform.log_url", "a URL"),
            Case({ it.replace("key_file = \"key\"", "") }, "session.key_file", "the path"),
            Case({ it.replace("\"scored\"", "\"best\"") }, "placement.policy", "\"scored\", \"random\""),
            Case({ it.replace("aa", "zz") }, "operator[0].token_sha256", "64 lower-case hex digits"),
            Case({ it.replace("heartbeat_timeout_ms = 900", "heartbeat_timeout_ms = 300") }, "session.heartbeat_timeout_ms", "twice"),
            Case({ "$it\n[[operator]]\nname = \"hana\"\ntoken_sha256 = \"${"bb".repeat(32)}\"\n" }, "operator", "its own name"),
            Case({ "$it\n[process]\nid = 3 = 4\n" }, "", "correct the syntax"),
        )

    @TestFactory
    fun `each problem names file, key and remedy`(): List<DynamicTest> =
        invalidCases.mapIndexed { index, case ->
            dynamicTest("$index ${case.key}") {
                val text = case.edit(ENTRY)
                assertFalse(text == ENTRY, "the edit does not apply")
                val file = directory.resolve("entry.toml").apply { writeText(text) }
                val problems = SettingsLoader.entry(file).swap().getOrElse { error("accepted: $it") }
                assertEquals(listOf(case.key), problems.map { it.key })
                val message = problems.single().message
                assertTrue(message.contains("entry.toml") && message.contains(case.remedy), message)
            }
        }

    @Test
    fun `reports all problems at once`() {
        val file = directory.resolve("entry.toml")
        file.writeText(ENTRY.replace("127.0.0.1:8080", "nowhere").replace("budget_percent = 20", "budget_percent = -1"))
        val problems = SettingsLoader.entry(file).swap().getOrElse { error("accepted: $it") }
        assertEquals(setOf("http.address", "retry.budget_percent"), problems.map { it.key }.toSet())
    }

    @Test
    fun `reads the values of a valid file and applies defaults`() {
        val file = directory.resolve("entry.toml").apply { writeText(ENTRY) }
        val settings = SettingsLoader.entry(file).getOrElse { error(it.joinToString { problem -> problem.message }) }
        assertEquals(20, settings.retry.budgetPercent)
        assertEquals(ClaimsSettings(), settings.claims)
        assertEquals(listOf("hana", "noor"), settings.operators.map { it.name.value })
    }

    @Test
    fun `reads the endpoints of a sidecar file in order`() {
        val file = directory.resolve("sidecar.toml").apply { writeText(SIDECAR) }
        val settings = SettingsLoader.sidecar(file).getOrElse { error(it.joinToString { problem -> problem.message }) }
        assertEquals(listOf("engine-1" to 12, "clerk-1" to 20), settings.endpoints.map { it.id.value to it.slots })
        assertEquals(null, settings.http.address)
        file.writeText(SettingsPrinter.print(settings, SidecarSettings.serializer()))
        assertEquals(settings, SettingsLoader.sidecar(file).getOrElse { error("$it in ${file.readText()}") })
    }

    @Test
    fun `printed settings mask secrets and can be loaded again`() {
        val file = directory.resolve("entry.toml").apply { writeText(ENTRY) }
        val settings = SettingsLoader.entry(file).getOrElse { error("refused") }
        val text = SettingsPrinter.print(settings, EntrySettings.serializer())
        assertFalse(text.contains("aaaa"), text)
        file.writeText(text.replaceFirst("(hidden)", "aa".repeat(32)).replaceFirst("(hidden)", "11".repeat(32)))
        assertEquals(settings, SettingsLoader.entry(file).getOrElse { error("$it in ${file.readText()}") })
    }

    @Test
    fun `rejects a short or missing session key`() {
        val short = directory.resolve("key").apply { writeText("too short\n") }
        for (file in listOf(short, directory.resolve("absent"))) {
            val problem = SettingsLoader.sessionKey(file.toString()).swap().getOrElse { error("accepted") }
            assertTrue(problem.message.startsWith(file.toString()), problem.message)
        }
    }

    private companion object {
        val PLATFORM =
            """
            [platform]
            log_url = "http://127.0.0.1:9000"
            instance_list_url = "http://127.0.0.1:9001"
            weight_store_url = "http://127.0.0.1:9002"
            """.trimIndent()

        val ENTRY =
            """
            [process]
            id = "entry-1"
            availability_zone = "lowell"
            [http]
            address = "127.0.0.1:8080"
            [[operator]]
            name = "hana"
            token_sha256 = "${"aa".repeat(32)}"
            [[operator]]
            name = "noor"
            token_sha256 = "${"11".repeat(32)}"
            [session]
            key_file = "key"
            heartbeat_interval_ms = 300
            heartbeat_timeout_ms = 900
            [placement]
            policy = "scored"
            [retry]
            budget_percent = 20
            """.trimIndent() + "\n" + PLATFORM

        val SIDECAR =
            """
            [process]
            id = "sidecar-1"
            availability_zone = "lowell"
            instance = "instance-1"
            [session]
            address = "[::1]:7000"
            key_file = "key"
            [[endpoint]]
            id = "engine-1"
            kind = "engine"
            url = "http://127.0.0.1:7100"
            slots = 12
            [[endpoint]]
            id = "clerk-1"
            kind = "service"
            url = "http://127.0.0.1:7101"
            """.trimIndent() + "\n" + PLATFORM
    }
}
