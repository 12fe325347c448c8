package io.knapweedferry.testing.demo

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs a small deployment, sends one request of each kind through it and prints the results. */
internal class Demo(
    private val deployment: LocalDeployment,
    private val folder: Path,
) {
    private val http = OkHttpClient.Builder().readTimeout(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()
    private val operator = OperatorClient(deployment)

    fun run() {
        printLine("Starting stand-ins for the platform, ${deployment.entries.size} entries and ${deployment.sidecars.size} sidecars")
        printLine("(logs are in $folder)")
        deployment.start()
        printLine("The fleet configuration is applied; all entries are ready.")
        streamedChat()
        unstreamedChat()
        nonRepeatableCall()
        drainEndpoint()
        explainRouting()
        printLine("\nDone. All processes are being stopped.")
    }

    private fun streamedChat() {
        title("1. A streamed answer: decode slot reserved, prompt prefilled, KV cache transferred, tokens delivered")
        val body = chat("fleet-inspection", "Review the history of life jacket 4711. [[answer=12]]", stream = true)
        val events = post(0, "/v1/chat/completions", body, mapOf("X-Request-Id" to STREAMED_ID))
        val tokens = events.lines().count { it.startsWith("data: {") } - 1
        printLine("   $tokens tokens as server-sent events; last line: ${events.trim().lines().last()}")
    }

    private fun unstreamedChat() {
        title("2. The same path without streaming, through the other entry")
        printLine("   " + post(1, "/v1/chat/completions", chat("liner-survey", "Survey the rental liners. [[answer=8]]", stream = false)))
    }

    private fun nonRepeatableCall() {
        title("3. A tag stamp, sent twice under one key through two entries: it runs once")
        val key = mapOf("Idempotency-Key" to Generators.timeBasedEpochGenerator().generate().toString())
        val stamp = "{\"jacket\":4711}"
        printLine("   first:  " + post(0, "/v1/services/dock-clerk/tag-stamp", stamp, key))
        printLine("   repeat: " + post(1, "/v1/services/dock-clerk/tag-stamp", stamp, key))
        printLine("   A repeatable call needs no key: " + post(0, "/v1/services/dock-clerk/locker-lookup", stamp))
    }

    private fun drainEndpoint() {
        title("4. An operator drains an endpoint: intent, plan, confirm")
        val plan = operator.run("--output", "json", "intent", "drain", "decode-2")
        val id = Regex("\"id\"\\s*:\\s*(\\d+)").find(plan)?.groupValues?.get(1) ?: error("no plan id in: $plan")
        printLine("   proposed as plan $id; nothing has changed yet")
        printLine(operator.run("confirm", id).trim().prependIndent("   "))
        printLine(operator.run("status").trim().prependIndent("   "))
    }

    private fun explainRouting() {
        title("5. How the first request was routed")
        printLine(operator.runUntilSuccess("explain", "request", STREAMED_ID).trim().prependIndent("   "))
    }

    private fun chat(
        work: String,
        prompt: String,
        stream: Boolean,
    ): String = """{"messages":[{"role":"user","content":"$prompt"}],"stream":$stream,"max_tokens":64,"metadata":{"work":"$work"}}"""

    private fun post(
        entry: Int,
        path: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): String {
        val request = Request.Builder().url(deployment.entryUrl(entry) + path).post(body.toRequestBody(JSON))
        request.header("Authorization", "Bearer ${Deployments.API_KEY}")
        headers.forEach { (name, value) -> request.header(name, value) }
        return http.newCall(request.build()).execute().use { response ->
            val text = response.body.string()
            check(response.isSuccessful) { "$path returned ${response.code}: $text" }
            text
        }
    }

    private fun title(text: String): Unit = printLine("\n$text")

    private fun printLine(text: String): Unit = println(text)

    private companion object {
        const val CALL_TIMEOUT_SECONDS = 30L
        const val STREAMED_ID = "demo-request-1"
        val JSON = "application/json".toMediaType()
    }
}
