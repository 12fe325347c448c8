package io.knapweedferry.cli

import io.knapweedferry.config.settings.SettingsCatalog
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readLines

/** Guards against settings or exit codes of the command-line client that are missing from docs/settings.md or differ there. */
internal class CliSettingsPageSpec {
    private val section =
        Path
            .of("../docs/settings.md")
            .readLines()
            .dropWhile { it != "## Operator program" }
            .drop(1)
            .takeWhile { !it.startsWith("## ") }

    @Test
    fun `the page lists the settings of the command-line client`() {
        val listed = section.filter { it.startsWith("| `") }.map { it.split(" | ").dropLast(1).joinToString(" | ") + " |" }
        assertEquals(SettingsCatalog.rows(CliSettings.serializer()).map { it.markdown }, listed)
    }

    @Test
    fun `the page lists the exit codes`() {
        for (exit in ExitCode.entries) assertTrue("| ${exit.code} | ${exit.meaning} |" in section, "exit code ${exit.code}")
    }
}
