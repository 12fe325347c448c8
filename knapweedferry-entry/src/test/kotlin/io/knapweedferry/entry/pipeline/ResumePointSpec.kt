package io.knapweedferry.entry.pipeline

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource

/** Guards against a malformed event id that resumes the wrong stream or position. */
internal class ResumePointSpec {
    @ParameterizedTest(name = "{0} gives {1}")
    @CsvSource(
        "decode-1/2/17,  decode-1 2 17",
        "decode-1/2,     ",
        "decode-1/x/17,  ",
        "/1/2,           ",
        "a/1/-3,         ",
        "a/1/9999999999, ",
    )
    fun `parses only complete event ids`(
        text: String,
        expected: String?,
    ) {
        assertEquals(expected, ResumePoint.parse(text)?.let { "${it.endpoint.value} ${it.attempt} ${it.position}" })
    }
}
