package io.knapweedferry.cli.text

import kotlinx.serialization.KSerializer
import kotlinx.serialization.json.Json

/** Decodes responses of entries. Unknown keys are ignored, because an entry may run a newer version than the client. */
internal object ReportJson {
    private val json = Json { ignoreUnknownKeys = true }

    fun <T> read(
        serializer: KSerializer<T>,
        body: String,
    ): T = json.decodeFromString(serializer, body)
}
