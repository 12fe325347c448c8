package io.knapweedferry.config.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** Mapping between the names in a file and the names in the serialized classes. */
@OptIn(ExperimentalSerializationApi::class)
public enum class NamingStyle(
    internal val json: Json,
    internal val keyOf: (String) -> String,
) {
    /** Keys and constants are the serial names of the classes. */
    SETTINGS(Json, { it }),

    /** Keys are property names in snake_case, and constants are in lower case; for classes that are also serialized as JSON. */
    FLEET(
        Json {
            namingStrategy = JsonNamingStrategy.SnakeCase
            decodeEnumsCaseInsensitive = true
        },
        { name -> name.replace(Regex("[A-Z]")) { "_" + it.value.lowercase() } },
    ),
    ;

    internal fun constantOf(name: String): String = if (this == FLEET) name.lowercase() else name
}
