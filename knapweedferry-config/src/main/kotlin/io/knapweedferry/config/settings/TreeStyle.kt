package io.knapweedferry.config.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonNamingStrategy

/** How names in a file relate to those in the classes. */
@OptIn(ExperimentalSerializationApi::class)
public enum class TreeStyle(
    internal val json: Json,
    internal val nameOf: (String) -> String,
) {
    /** The classes name their keys themselves. */
    SETTINGS(Json, { it }),

    /** Keys are the property names in snake_case, and constants are in lower case; used for classes that also travel as JSON. */
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
