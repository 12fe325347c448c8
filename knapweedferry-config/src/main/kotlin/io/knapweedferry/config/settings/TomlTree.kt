package io.knapweedferry.config.settings

import arrow.core.Either
import arrow.core.left
import arrow.core.raise.Raise
import arrow.core.raise.either
import arrow.core.raise.ensure
import com.akuleshov7.ktoml.TomlInputConfig
import com.akuleshov7.ktoml.parsers.TomlParser
import com.akuleshov7.ktoml.tree.nodes.TableType
import com.akuleshov7.ktoml.tree.nodes.TomlArrayOfTablesElement
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValueArray
import com.akuleshov7.ktoml.tree.nodes.TomlKeyValuePrimitive
import com.akuleshov7.ktoml.tree.nodes.TomlNode
import com.akuleshov7.ktoml.tree.nodes.TomlTable
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlNull
import com.akuleshov7.ktoml.tree.nodes.pairs.values.TomlValue
import kotlinx.serialization.json.JsonArray
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonNull
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive

/**
 * Converts TOML to a JSON tree. Validating a tree allows reporting all problems of a file at once, whereas ktoml's decoder
 * stops at the first. Decoding from JSON also supports maps with typed keys, which ktoml does not.
 */
public object TomlTree {
    private val config = TomlInputConfig(allowEmptyToml = true, allowNullValues = false)

    /** Parses [text]; the left side describes the syntax error. */
    public fun parse(text: String): Either<String, JsonObject> =
        try {
            val file = TomlParser(config).parseString(text)
            either { tableOf(file) }
        } catch (exception: IllegalArgumentException) {
            // Base type of ktoml's exceptions; some malformed texts also cause it in ktoml's string functions.
            (exception.message ?: "is not valid TOML").left()
        } catch (exception: StringIndexOutOfBoundsException) {
            (exception.message ?: "is not valid TOML").left()
        } catch (_: StackOverflowError) {
            // ktoml 0.7.1 recurses infinitely on an unclosed array. Its parser is stateless, so continuing is safe.
            "an array is not closed".left()
        }

    private fun Raise<String>.tableOf(node: TomlNode): JsonObject {
        val entries = LinkedHashMap<String, JsonElement>()
        for (child in node.children) {
            val value =
                when (child) {
                    is TomlTable -> if (child.type == TableType.ARRAY) arrayOf(child) else tableOf(child)
                    is TomlKeyValuePrimitive -> valueOf(child.value)
                    is TomlKeyValueArray -> valueOf(child.value)
                    else -> continue
                }
            val name = nameOf(child)
            // ktoml silently keeps the last value of a duplicate key.
            ensure(name !in entries) { "Line ${child.lineNo}: $name is set more than once" }
            entries[name] = value
        }
        return JsonObject(entries)
    }

    private fun Raise<String>.arrayOf(table: TomlTable): JsonArray =
        JsonArray(table.children.filterIsInstance<TomlArrayOfTablesElement>().map { tableOf(it) })

    private fun nameOf(node: TomlNode): String = node.name.trim('"', '\'')

    private fun valueOf(content: Any?): JsonElement =
        when (content) {
            null, is TomlNull -> JsonNull
            is TomlValue -> valueOf(content.content)
            is List<*> -> JsonArray(content.map { valueOf(it) })
            is Number -> JsonPrimitive(content)
            is Boolean -> JsonPrimitive(content)
            else -> JsonPrimitive(content.toString())
        }
}
