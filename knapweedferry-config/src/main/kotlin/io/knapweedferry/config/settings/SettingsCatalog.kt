package io.knapweedferry.config.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.KSerializer
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.Json
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/** Lists all settings with type, unit, range and default, so that tests can compare the reference documentation with the code. */
@OptIn(ExperimentalSerializationApi::class)
public object SettingsCatalog {
    private val json = Json { encodeDefaults = true }

    private val units =
        listOf(
            "_bytes_per_second" to "bytes/s",
            "bytes_per_second" to "bytes/s",
            "_ms" to "ms",
            "_bytes" to "bytes",
            "_percent" to "%",
            "_tokens" to "tokens",
        )

    /** Returns the settings of the class of [serializer] in declaration order. */
    public fun <T> rows(serializer: KSerializer<T>): List<SettingRow> {
        val descriptor = serializer.descriptor
        val sample = json.decodeFromJsonElement(serializer, minimalTree(descriptor))
        return rows(descriptor, json.encodeToJsonElement(serializer, sample) as JsonObject, "")
    }

    private fun rows(
        descriptor: SerialDescriptor,
        values: JsonObject,
        section: String,
    ): List<SettingRow> =
        (0 until descriptor.elementsCount).flatMap { index ->
            val name = descriptor.getElementName(index)
            val element = SettingsValidator.unwrap(descriptor.getElementDescriptor(index))
            val value = values[name]
            when {
                element.kind == StructureKind.CLASS -> rows(element, value as JsonObject, "[$name]")
                isTableList(element) -> rows(element.getElementDescriptor(0), (value as JsonArray)[0] as JsonObject, "[[$name]]")
                else -> listOf(row(descriptor, index, value, section))
            }
        }

    private fun row(
        owner: SerialDescriptor,
        index: Int,
        value: JsonElement?,
        section: String,
    ): SettingRow {
        val name = owner.getElementName(index)
        val element = SettingsValidator.unwrap(owner.getElementDescriptor(index))
        val default = if (owner.isElementOptional(index)) defaultText(value) else "required"
        return SettingRow(section, name, typeText(element), unitOf(name), rangeOf(owner.getElementAnnotations(index), element), default)
    }

    private fun defaultText(value: JsonElement?): String =
        if (value == null || value is JsonNull || value is JsonArray) "none" else "`${(value as JsonPrimitive).content}`"

    private fun typeText(element: SerialDescriptor): String =
        when (element.kind) {
            PrimitiveKind.BOOLEAN -> "boolean"
            PrimitiveKind.INT, PrimitiveKind.LONG -> "integer"
            StructureKind.LIST -> "list of ${typeText(SettingsValidator.unwrap(element.getElementDescriptor(0)))}s"
            else -> "string"
        }

    private fun unitOf(name: String): String = units.firstOrNull { (suffix, _) -> name.endsWith(suffix) }?.second ?: "-"

    private fun rangeOf(
        rules: List<Annotation>,
        element: SerialDescriptor,
    ): String {
        val range = rules.filterIsInstance<InRange>().firstOrNull()
        val textRule = rules.filterIsInstance<TextRule>().firstOrNull()
        return when {
            range != null -> "${range.min} to ${range.max}"
            textRule != null -> textRule.format.description
            element.kind == SerialKind.ENUM -> element.elementNames.joinToString { "`$it`" }
            element.kind == PrimitiveKind.BOOLEAN -> "`true`, `false`"
            else -> "-"
        }
    }

    private fun isTableList(element: SerialDescriptor): Boolean =
        element.kind == StructureKind.LIST && SettingsValidator.unwrap(element.getElementDescriptor(0)).kind == StructureKind.CLASS

    /** Builds the smallest tree that can be decoded, with one element in each list of tables, to obtain the default values. */
    private fun minimalTree(declared: SerialDescriptor): JsonElement {
        val descriptor = SettingsValidator.unwrap(declared)
        return when (descriptor.kind) {
            StructureKind.CLASS -> {
                val needed =
                    (0 until descriptor.elementsCount).filter {
                        !descriptor.isElementOptional(it) ||
                            isTableList(descriptor.getElementDescriptor(it))
                    }
                JsonObject(needed.associate { descriptor.getElementName(it) to minimalTree(descriptor.getElementDescriptor(it)) })
            }

            StructureKind.LIST -> JsonArray(listOf(minimalTree(descriptor.getElementDescriptor(0))))

            SerialKind.ENUM -> JsonPrimitive(descriptor.getElementName(0))

            PrimitiveKind.STRING -> JsonPrimitive("")

            PrimitiveKind.BOOLEAN -> JsonPrimitive(false)

            else -> JsonPrimitive(0)
        }
    }
}
