package io.knapweedferry.cli.text

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Reads the answers of entries, which may be newer than this program. */
internal object ReportJson {
    private val json = Json { ignoreUnknownKeys = true }

    fun <T> read(
        serializer: KSerializer<T>,
        body: String,
    ): T = json.decodeFromString(serializer, body)
}
