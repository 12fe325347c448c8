package io.knapweedferry.config.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.descriptors.PrimitiveKind
import kotlinx.serialization.descriptors.SerialDescriptor
import kotlinx.serialization.descriptors.SerialKind
import kotlinx.serialization.descriptors.StructureKind
import kotlinx.serialization.descriptors.elementNames
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import kotlinx.serialization.json.doubleOrNull
import kotlinx.serialization.json.longOrNull

/** Validates a parsed settings file against the descriptor of its class and collects all problems. */
@OptIn(ExperimentalSerializationApi::class)
internal class SettingsValidator(
    private val file: String,
    private val naming: NamingStyle,
) {
    private val problems = mutableListOf<SettingsProblem>()

    /** Returns the problems of [tree] in the order of the file; missing settings come last in each section. */
    fun validate(
        tree: JsonObject,
        descriptor: SerialDescriptor,
    ): List<SettingsProblem> {
        checkObject(tree, descriptor, "")
        return problems
    }

    private fun checkObject(
        tree: JsonObject,
        descriptor: SerialDescriptor,
        path: String,
    ) {
        val knownKeys = descriptor.elementNames.map(naming.keyOf)
        for ((name, value) in tree) {
            val index = knownKeys.indexOf(name)
            if (index < 0) {
                report(join(path, name), "is not a known setting", "remove it or use one of: ${knownKeys.sorted().joinToString()}")
                continue
            }
            checkValue(value, descriptor.getElementDescriptor(index), descriptor.getElementAnnotations(index), join(path, name))
        }
        for ((index, name) in knownKeys.withIndex()) {
            if (name in tree || descriptor.isElementOptional(index)) continue
            report(join(path, name), "is missing", "set it to ${expected(descriptor, index)}")
        }
    }

    private fun checkValue(
        value: JsonElement,
        declared: SerialDescriptor,
        rules: List<Annotation>,
        path: String,
    ) {
        val descriptor = unwrap(declared)
        when (descriptor.kind) {
            StructureKind.CLASS -> {
                if (value !is JsonObject) return report(path, "is not a table", "write it as the section [$path]")
                checkObject(value, descriptor, path)
            }

            StructureKind.LIST -> checkList(value, descriptor, rules, path)

            StructureKind.MAP -> {
                if (value !is JsonObject) return report(path, "is not a table", "write it as the section [$path]")
                val key = descriptor.getElementDescriptor(0)
                val element = descriptor.getElementDescriptor(1)
                for ((name, item) in value) {
                    checkScalar(JsonPrimitive(name), unwrap(key), emptyList(), join(path, name))
                    checkValue(item, element, rules, join(path, name))
                }
            }

            else -> checkScalar(value, descriptor, rules, path)
        }
    }

    private fun checkList(
        value: JsonElement,
        descriptor: SerialDescriptor,
        rules: List<Annotation>,
        path: String,
    ) {
        val element = descriptor.getElementDescriptor(0)
        if (value !is JsonArray) {
            val remedy = if (unwrap(element).kind == StructureKind.CLASS) "write it as [[$path]]" else "write it as [ ... ]"
            return report(path, "is not a list", remedy)
        }
        value.forEachIndexed { index, item -> checkValue(item, element, rules, "$path[$index]") }
    }

    private fun checkScalar(
        value: JsonElement,
        descriptor: SerialDescriptor,
        rules: List<Annotation>,
        path: String,
    ) {
        if (value !is JsonPrimitive || value is JsonNull || !hasType(value, descriptor)) {
            return report(path, "has the wrong type", "set it to ${typeName(descriptor, naming)}")
        }
        for (rule in rules) {
            if (rule is InRange && value.longOrNull?.let { it in rule.min..rule.max } != true) {
                report(path, "is ${value.content}, which is out of range", "set it to a value from ${rule.min} to ${rule.max}")
            }
            if (rule is TextRule && !rule.format.accepts(value.content)) {
                report(path, "is not valid", "set it to ${rule.format.description}")
            }
        }
    }

    private fun hasType(
        value: JsonPrimitive,
        descriptor: SerialDescriptor,
    ): Boolean =
        when (descriptor.kind) {
            PrimitiveKind.STRING -> value.isString
            PrimitiveKind.BOOLEAN -> !value.isString && value.content in BOOLEANS
            PrimitiveKind.INT -> !value.isString && value.longOrNull?.let { it in Int.MIN_VALUE..Int.MAX_VALUE } == true
            PrimitiveKind.LONG -> !value.isString && value.longOrNull != null
            PrimitiveKind.DOUBLE -> !value.isString && value.doubleOrNull != null
            SerialKind.ENUM -> value.isString && value.content in descriptor.elementNames.map(naming::constantOf)
            else -> false
        }

    private fun expected(
        descriptor: SerialDescriptor,
        index: Int,
    ): String {
        val textRule = descriptor.getElementAnnotations(index).filterIsInstance<TextRule>().firstOrNull()
        return textRule?.format?.description ?: typeName(unwrap(descriptor.getElementDescriptor(index)), naming)
    }

    private fun report(
        path: String,
        detail: String,
        remedy: String,
    ) {
        problems += SettingsProblem(file, path, detail, remedy)
    }

    internal companion object {
        private val BOOLEANS = setOf("true", "false")

        /** Returns the descriptor of the value inside nested value classes. */
        fun unwrap(descriptor: SerialDescriptor): SerialDescriptor =
            if (descriptor.isInline) unwrap(descriptor.getElementDescriptor(0)) else descriptor

        /** Returns the name of a type for messages. */
        fun typeName(
            descriptor: SerialDescriptor,
            naming: NamingStyle = NamingStyle.SETTINGS,
        ): String =
            when (descriptor.kind) {
                PrimitiveKind.STRING -> "a string in quotes"
                PrimitiveKind.BOOLEAN -> "true or false"
                PrimitiveKind.INT, PrimitiveKind.LONG -> "a whole number"
                PrimitiveKind.DOUBLE -> "a number"
                SerialKind.ENUM -> "one of: ${descriptor.elementNames.joinToString { "\"${naming.constantOf(it)}\"" }}"
                StructureKind.LIST -> "a list"
                else -> "a table"
            }

        private fun join(
            path: String,
            name: String,
        ): String = if (path.isEmpty()) name else "$path.$name"
    }
}
