package io.knapweedferry.testing.adapter

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
        respond: ScriptedExchange.(ScriptedReply) -> Unit,
    ): List<Any> =
        ScriptedServer { respond(call.replies[number - 1]) }.use { server ->
            PlatformClients(server.url).use { clients ->
                (1..2).map { number ->
                    if (number > 1) betweenCalls()
                    runBlocking { call.run(clients, number) }
                }
            }
        }

    private companion object {
        const val AWAIT_SECONDS = 5L
    }
}
