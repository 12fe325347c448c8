package io.knapweedferry.config.settings

import com.akuleshov7.ktoml.Toml
import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Prints the effective settings, including defaults, for `--print-config`. Values marked [Secret] are masked. */
@OptIn(ExperimentalSerializationApi::class)
public object SettingsPrinter {
    private const val MASK = "(hidden)"
    private val json = Json { encodeDefaults = true }

    /** Returns [settings] as TOML. */
    public fun <T> print(
        settings: T,
        serializer: KSerializer<T>,
    ): String {
        val tree = json.encodeToJsonElement(serializer, settings)
        val masked = json.decodeFromJsonElement(serializer, mask(tree, serializer.descriptor))
        return Toml.encodeToString(serializer, masked)
    }

    private fun mask(
        tree: JsonElement,
        descriptor: SerialDescriptor,
    ): JsonElement {
        if (tree is JsonArray) return JsonArray(tree.map { mask(it, descriptor.getElementDescriptor(0)) })
        if (tree !is JsonObject || descriptor.kind != StructureKind.CLASS) return tree
        return JsonObject(
            tree.mapValues { (name, value) ->
                val index = descriptor.getElementIndex(name)
                val secret = descriptor.getElementAnnotations(index).any { it is Secret }
                if (secret) JsonPrimitive(MASK) else mask(value, descriptor.getElementDescriptor(index))
            },
        )
    }
}
