package io.knapweedferry.config.settings

import org.junit.jupiter.api.Assertions.assertDoesNotThrow
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import kotlin.random.Random

/** Guards against TOML that is silently misread, and against exceptions from the parser. */
internal class TomlTreeSpec {
    private val validTexts =
        mapOf(
            "a = 1\nb = \"x # y\" # comment" to """{"a":1,"b":"x # y"}""",
            "a = -5\nb = 1_000\nc = true\nd = 0.5" to """{"a":-5,"b":1000,"c":true,"d":0.5}""",
            "a = \"1\"" to """{"a":"1"}""",
            "a = [1, 2]\nb = [\"x\", \"y\"]\nc = []" to """{"a":[1,2],"b":["x","y"],"c":[]}""",
            "[a.b]\nc = 1\n[a.d]\ne = 2" to """{"a":{"b":{"c":1},"d":{"e":2}}}""",
            "[[a]]\nb = 1\n[[a]]\nb = 2" to """{"a":[{"b":1},{"b":2}]}""",
            "[a]\n[b]\nc = 1" to """{"a":{},"b":{"c":1}}""",
            "[a.\"b.c\"]\nd = 1" to """{"a":{"b.c":{"d":1}}}""",
            "a = { b = 1, c = \"x\" }" to """{"a":{"b":1,"c":"x"}}""",
            "a.b = 1" to """{"a":{"b":1}}""",
            "a = 'it\\d'" to """{"a":"it\\d"}""",
            "# nothing" to "{}",
        )
    private val invalidTexts =
        listOf("a", "a = ", "a = 1 = 2", "[a", "a = 1\na = 2", "[a]\nb = 1\n[a]\nb = 2", "a = \"x")

    @TestFactory
    fun `parses valid text`(): List<DynamicTest> =
        validTexts.map { (text, json) -> dynamicTest(text) { assertEquals(json, TomlTree.parse(text).fold({ it }, { it.toString() })) } }

    @Test
    fun `the parser never throws`() {
        val seed = System.getProperty("knapweedferry.seed")?.toLong() ?: Random.nextLong()
        println("TomlTreeSpec seed $seed (repeat with -Dknapweedferry.seed=$seed)")
        val random = Random(seed)
        val alphabet = "[]{}\"'=,.#\\\n ab01_-\u00e9"
        repeat(20_000) {
            val text = StringBuilder(validTexts.keys.random(random))
            repeat(random.nextInt(1, 5)) {
                val index = random.nextInt(text.length)
                if (random.nextBoolean()) text.setCharAt(index, alphabet.random(random)) else text.insert(index, alphabet.random(random))
            }
            assertDoesNotThrow({ TomlTree.parse(text.toString()) }, "seed $seed: $text")
        }
    }

    @TestFactory
    fun `rejects invalid text`(): List<DynamicTest> =
        invalidTexts.map { text -> dynamicTest(text) { assertEquals(null, TomlTree.parse(text).getOrNull()) } }
}
