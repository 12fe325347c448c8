package io.knapweedferry.testing.load

import io.javalin.Javalin
import io.javalin.http.Context
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger

/** Guards against a driver that counts failed, slow or refused requests as served, or sends malformed requests. */
internal class LoadRunSpec {
    private val bodies = ConcurrentLinkedQueue<String>()
    private val headers = ConcurrentLinkedQueue<Map<String, String>>()
    private val served = AtomicInteger()
    private val entry =
        Javalin
            .create { config ->
                config.startup.showJavalinBanner = false
                config.routes.post("/v1/chat/completions") { chat(it) }
                config.routes.post("/v1/services/{service}/{operation}") { service(it) }
            }.start("127.0.0.1", 0)

    @AfterEach
    fun stop() {
        entry.stop()
    }

    @Test
    fun `answers are measured and counted by outcome`() {
        val report = LoadRun(LoadScenario.parse(toml("http://127.0.0.1:${entry.port()}"))).run()
        val (urgent, standard, background) = report.ranks
        assertTrue(urgent.offered in 10..60, "20 a second for 2 s: ${urgent.offered}")
        assertEquals(urgent.offered, urgent.inTarget)
        assertTrue(urgent.interToken.p50Ms in 4.0..40.0, "tokens are 5 ms apart: ${urgent.interToken}")
        assertEquals(mapOf("incomplete_answer" to standard.offered), standard.failures)
        assertEquals(0, standard.completed)
        assertEquals(background.offered, background.refusals["queue_full"]!! + background.completed)
        assertNotNull(background.shareDuringFlood)
        assertNull(headers.first { it["path"]!!.startsWith("/v1/chat") }["key"])
        assertEquals(7, headers.first { it["path"] == "/v1/services/tags/stamp" }["key"]!![14].digitToInt(), "a key is a UUID of version 7")
        assertTrue(headers.all { it["auth"] == "Bearer key-a" })
        assertTrue(bodies.any { it.startsWith("""{"model":"m","messages":[{"role":"user","content":"""") })
        assertTrue(bodies.any { it.contains(""""stream":true,"max_tokens":5,"metadata":{"work":"review"}}""") })
        assertTrue(LoadTable.render(report).contains("background refused queue_full"))
    }

    private fun chat(context: Context) {
        recordRequest(context)
        context.res().contentType = "text/event-stream"
        val out = context.res().outputStream
        val isComplete = context.body().contains("review")
        repeat(5) {
            out.write("""data: {"choices":[{"delta":{"content":"t"},"finish_reason":null}]}${"\n\n"}""".toByteArray())
            out.flush()
            Thread.sleep(5)
        }
        if (isComplete) out.write("""data: {"choices":[{"delta":{},"finish_reason":"stop"}]}${"\n\n"}""".toByteArray())
        out.write("data: [DONE]\n\n".toByteArray())
        out.flush()
    }

    private fun service(context: Context) {
        recordRequest(context)
        if (served.incrementAndGet() % 2 == 0) {
            context.result("{}")
            return
        }
        context.status(503).contentType("application/problem+json").result("""{"status":503,"code":"queue_full","title":"x"}""")
    }

    private fun recordRequest(context: Context) {
        bodies += context.body()
        headers +=
            mapOf("path" to context.path(), "auth" to context.header("Authorization")!!) +
            (context.header("Idempotency-Key")?.let { mapOf("key" to it) } ?: emptyMap())
    }

    private fun toml(url: String) =
        """
        name = "spec"
        seed = 3
        duration_ms = 2000
        entries = ["$url"]

        [[work]]
        name = "review"
        rank = "urgent"
        rate_per_second = 20.0
        model = "m"
        prompt_tokens = { median = 40, sigma = 0.5, min = 10, max = 90 }
        answer_tokens = { median = 5 }

        [[work]]
        name = "survey"
        rank = "standard"
        rate_per_second = 10.0
        model = "m"

        [[work]]
        name = "stamp"
        rank = "background"
        rate_per_second = 10.0
        service = "tags"
        operation = "stamp"
        repeatable = false

        [[organisations]]
        name = "a"
        api_key = "key-a"

        [[targets]]
        rank = "urgent"
        first_token_ms = 1500.0
        inter_token_ms = 500.0

        [[targets]]
        rank = "standard"
        first_token_ms = 1500.0
        inter_token_ms = 500.0

        [[targets]]
        rank = "background"
        first_token_ms = 1500.0
        inter_token_ms = 500.0

        [[floods]]
        work = "stamp"
        multiplier = 4.0
        start_ms = 500
        duration_ms = 1000

        [capacity]
        decode_tokens_per_second = 1000.0
        """.trimIndent()
}
