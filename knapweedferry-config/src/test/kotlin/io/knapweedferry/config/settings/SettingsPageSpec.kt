package io.knapweedferry.config.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readLines

/** Guards against settings that are missing from docs/settings.md, differ from it, or are still listed after their removal. */
internal class SettingsPageSpec {
    private val page = Path.of("../docs/settings.md").readLines()

    @Test
    fun `the page lists the settings of an entry`() = assertListed("## Entry", SettingsCatalog.rows(EntrySettings.serializer()))

    @Test
    fun `the page lists the settings of a sidecar`() = assertListed("## Sidecar", SettingsCatalog.rows(SidecarSettings.serializer()))

    private fun assertListed(
        heading: String,
        rows: List<SettingRow>,
    ) {
        val part = page.dropWhile { it != heading }.drop(1).takeWhile { !it.startsWith("## ") }
        val expected =
            rows.groupBy { it.section }.flatMap { (section, settings) ->
                listOf("### `$section`") + settings.map { it.markdown }
            }
        val listed = part.filter { it.startsWith("### ") || it.startsWith("| `") }
        assertEquals(expected, listed.map { if (it.startsWith("|")) it.split(" | ").dropLast(1).joinToString(" | ") + " |" else it })
        val descriptions = listed.filter { it.startsWith("|") }.map { it.split(" | ").last() }
        assertTrue(descriptions.all { it.length > "x |".length }, "a setting has no description")
    }
}
