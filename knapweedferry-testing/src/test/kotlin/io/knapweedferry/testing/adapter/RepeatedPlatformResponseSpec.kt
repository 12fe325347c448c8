package io.knapweedferry.testing.adapter

import arrow.core.Either
import io.knapweedferry.platform.engine.EngineEvent
import io.knapweedferry.platform.service.ServiceResult
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

/** Guards against a second response of an engine, a service or the platform that is taken for the response to the next request. */
internal class RepeatedPlatformResponseSpec {
    /** Form of the second response to a request. */
    enum class Copy(
        val of: (ScriptedReply) -> String,
    ) {
        COMPLETE({ it.whole }),
        TWICE({ it.whole + it.whole }),
        WITHOUT_LENGTH({ it.withoutLength }),
        CUT_IN_BODY({ it.cutInBody }),
        CUT_IN_HEAD({ it.cutInHead }),
    }

    /** When the second response is written. */
    enum class Moment(
        val delayMs: Long? = null,
    ) {
        IN_ONE_SEGMENT,
        AFTER_2_MS(2),
        AFTER_20_MS(20),
        WHILE_IDLE(0),
        BEFORE_NEXT_RESPONSE,
    }

    @ParameterizedTest
    @EnumSource(PlatformCall::class)
    fun `a call gets its own response after an endpoint has responded twice`(call: PlatformCall) {
        val expected = results(call) { write(it.whole) }
        assertNotEquals(expected[0], expected[1])
        val failures =
            Copy.entries.flatMap { copy ->
                Moment.entries.mapNotNull { moment ->
                    val actual = resultsWithCopy(call, copy, moment)
                    "$copy $moment: $actual".takeIf { actual != expected }
                }
            }
        assertEquals(emptyList<String>(), failures, "${failures.size} of ${Copy.entries.size * Moment.entries.size} cases")
    }

    /** First response to a request that ends where only the second one shows it. */
    enum class Unfinished(
        val of: (ScriptedReply) -> String,
    ) {
        WITHOUT_LENGTH({ it.withoutLength }),
        CUT_IN_BODY({ it.cutInBody }),
        WITHOUT_LAST_10_CHARS({ it.whole.dropLast(10) }),
        WITHOUT_LAST_5_CHARS({ it.whole.dropLast(5) }),
        WITHOUT_LAST_CHAR({ it.whole.dropLast(1) }),
    }

    @ParameterizedTest
    @EnumSource(PlatformCall::class)
    fun `a second response is not delivered as part of the first one`(call: PlatformCall) {
        val own = results(call) { write(it.whole) }.first()
        val failures =
            Unfinished.entries.flatMap { first ->
                listOf(0L, LATE_MS).mapNotNull { delayMs ->
                    val actual =
                        results(call, calls = 1) {
                            write(first.of(it))
                            Thread.sleep(delayMs)
                            write(it.whole)
                            close()
                        }.single()
                    "$first $delayMs ms: $actual".takeIf { actual != own && !isFailure(actual, own) }
                }
            }
        assertEquals(emptyList<String>(), failures, "${failures.size} of ${Unfinished.entries.size * 2} cases")
    }

    /** Body of a service that resembles a second response. */
    enum class SoundBody(
        val contentType: String,
        val text: String,
    ) {
        STATUS_LINE_IN_JSON("application/json", """{"cause":"HTTP/1.1 502 Bad Gateway\nServer: s"}"""),
        STATUS_LINE_IN_TEXT("text/plain", "The gateway answered HTTP/1.1 502 Bad Gateway\nand closed"),
        STATUS_LINE_AT_END("text/plain", "The gateway answered HTTP/1.1 502 Bad Gateway"),
        REQUEST_LINE("text/plain", "GET / HTTP/1.1\nHost: h"),
        TEXT_LABELLED_AS_JSON("application/json", "stamped"),
        EMPTY_LABELLED_AS_JSON("application/json", ""),
    }

    @ParameterizedTest
    @EnumSource(SoundBody::class)
    fun `a response of a service that quotes another response is delivered`(body: SoundBody) {
        val response = "HTTP/1.1 200 X\r\nContent-Type: ${body.contentType}\r\nContent-Length: ${body.text.length}\r\n\r\n${body.text}"
        val results = results(PlatformCall.SERVICE, calls = 1) { write(response) }
        assertEquals(listOf(Either.Right(ServiceResult(200, body.contentType, body.text))), results)
    }

    private fun resultsWithCopy(
        call: PlatformCall,
        copy: Copy,
        moment: Moment,
    ): List<Any> {
        val written = CountDownLatch(1)
        val copyText = copy.of(call.replies.first())
        return results(call, { if (moment == Moment.WHILE_IDLE) assertTrue(written.await(AWAIT_SECONDS, TimeUnit.SECONDS)) }) { reply ->
            val isFirst = number == 1
            when {
                isFirst && moment == Moment.IN_ONE_SEGMENT -> {
                    write(reply.whole + copyText)
                }

                isFirst && moment.delayMs != null -> {
                    write(reply.whole)
                    Thread.sleep(moment.delayMs)
                    try {
                        write(copyText)
                    } finally {
                        written.countDown()
                    }
                }

                !isFirst && numberOnConnection > 1 && moment == Moment.BEFORE_NEXT_RESPONSE -> {
                    write(copyText + reply.whole)
                }

                else -> {
                    write(reply.whole)
                }
            }
        }
    }

    /** Returns the results of the calls against a server that responds to each of them by [respond]. */
    private fun results(
        call: PlatformCall,
        betweenCalls: () -> Unit = {},
        calls: Int = 2,
        respond: ScriptedExchange.(ScriptedReply) -> Unit,
    ): List<Any> =
        ScriptedServer { respond(call.replies[number - 1]) }.use { server ->
            PlatformClients(server.url).use { clients ->
                (1..calls).map { number ->
                    if (number > 1) betweenCalls()
                    runBlocking { call.run(clients, number) }
                }
            }
        }

    /** True if [result] reports a failure, after no other tokens than those of [own]. */
    private fun isFailure(
        result: Any,
        own: Any,
    ): Boolean =
        when (result) {
            is Either<*, *> -> result.isLeft()
            is List<*> -> result.last() is EngineEvent.Broken && (own as List<*>).containsAll(result.dropLast(1))
            else -> false
        }

    private companion object {
        const val LATE_MS = 20L
        const val AWAIT_SECONDS = 5L
    }
}
