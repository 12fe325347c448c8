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

/** Renders effective settings, defaults included, for `--print-config`. Values marked [Secret] are hidden. */
@OptIn(ExperimentalSerializationApi::class)
public object SettingsPrinter {
    private const val HIDDEN = "(hidden)"
    private val json = Json { encodeDefaults = true }

    /** Returns [settings] as TOML-like text. */
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
                val hidden = descriptor.getElementAnnotations(index).any { it is Secret }
                if (hidden) JsonPrimitive(HIDDEN) else mask(value, descriptor.getElementDescriptor(index))
            },
        )
    }
}
