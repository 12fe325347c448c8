package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.AnswerDigest
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.LoadSummary
import io.knapweedferry.api.RequestId
import io.knapweedferry.api.message.AnswerEnd
import io.knapweedferry.api.message.Tokens
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.Arguments
import org.junit.jupiter.params.provider.Arguments.arguments
import org.junit.jupiter.params.provider.MethodSource

/** Guards against answers with duplicated, reordered or missing tokens, or tokens of another request. */
internal class AnswerAssemblerSpec {
    private val mine = RequestId("mine")

    @ParameterizedTest(name = "{0}")
    @MethodSource("frames")
    fun `delivers only new texts of the current attempt`(
        name: String,
        frames: List<Tokens>,
        expected: List<List<String>?>,
    ) {
        val assembler = AnswerAssembler(mine).apply { beginStream(1) }
        assertEquals(expected, frames.map(assembler::accept), name)
    }

    @ParameterizedTest(name = "{0} gives {2}")
    @MethodSource("ends")
    fun `the end matches only exactly the delivered texts`(
        name: String,
        end: AnswerEnd,
        verified: Boolean,
    ) {
        val assembler = AnswerAssembler(mine).apply { beginStream(1) }
        assembler.accept(Tokens(mine, 1, 0, listOf("a", "b")))
        assertEquals(verified, assembler.isVerifiedBy(end), name)
    }

    @ParameterizedTest(name = "resumed at {0}")
    @MethodSource("positions")
    fun `a resumed answer is verified by the texts from its first position on`(position: Int) {
        val assembler = AnswerAssembler(mine, position).apply { beginStream(2) }
        assertEquals(listOf("c"), assembler.accept(Tokens(mine, 2, position, listOf("c"))))
        val digest = AnswerDigest().apply { add("c") }.value
        assertEquals(true, assembler.isVerifiedBy(end(attempt = 2, count = position + 1, digest = digest)))
    }

    private companion object {
        val MINE = RequestId("mine")
        val DIGEST =
            AnswerDigest()
                .apply {
                    add("a")
                    add("b")
                }.value

        fun tokens(
            position: Int,
            vararg texts: String,
            request: String = "mine",
            attempt: Int = 1,
        ) = Tokens(RequestId(request), attempt, position, texts.toList())

        fun end(
            attempt: Int = 1,
            count: Int = 2,
            digest: Long = DIGEST,
            request: RequestId = MINE,
        ) = AnswerEnd(request, attempt, count, digest, "stop", LoadSummary(EndpointId("e"), 0, 0, 0, 0, 0, 0, 0))

        @JvmStatic
        fun frames(): List<Arguments> =
            listOf(
                arguments("in order", listOf(tokens(0, "a"), tokens(1, "b")), listOf(listOf("a"), listOf("b"))),
                arguments("repeated", listOf(tokens(0, "a"), tokens(0, "a")), listOf(listOf("a"), emptyList<String>())),
                arguments("overlapping", listOf(tokens(0, "a"), tokens(0, "a", "b")), listOf(listOf("a"), listOf("b"))),
                arguments("of another request", listOf(tokens(0, "x", request = "other")), listOf(emptyList<String>())),
                arguments("of an earlier attempt", listOf(tokens(0, "x", attempt = 0)), listOf(emptyList<String>())),
                arguments("with a gap", listOf(tokens(0, "a"), tokens(2, "c")), listOf(listOf("a"), null)),
            )

        @JvmStatic
        fun ends(): List<Arguments> =
            listOf(
                arguments("the right end", end(), true),
                arguments("a lost text", end(count = 3), false),
                arguments("a changed text", end(digest = DIGEST + 1), false),
                arguments("the end of another request", end(request = RequestId("other")), false),
                arguments("the end of another attempt", end(attempt = 2), false),
            )

        @JvmStatic
        fun positions(): List<Int> = listOf(0, 1, 7)
    }
}
