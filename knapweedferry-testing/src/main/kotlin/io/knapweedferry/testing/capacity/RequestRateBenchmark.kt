package io.knapweedferry.testing.capacity

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Measures CPU time and I/O of an entry and all sidecars at different rates of streamed requests. */
internal class RequestRateBenchmark(
    private val deployment: LocalDeployment,
    private val seconds: Int,
) {
    private val http = OkHttpClient()

    fun measure(
        perSecond: Int,
        answerTokens: Int,
    ) {
        val answered = AtomicInteger()
        val processes = listOf(deployment.entries[0]) + deployment.sidecars.values
        val use = ResourceUsage.during(processes) { offer(perSecond, answerTokens, answered) }
        val sidecars = use.drop(1)
        println("$perSecond requests/s of $answerTokens tokens, ${answered.get()} of ${perSecond * seconds} answered")
        println("  entry ${use[0]}")
        println("  all ${sidecars.size} sidecars: cpu ${sidecars.sumOf { it.cpuMs }} ms, io ${sidecars.sumOf { it.ioBytes }} B")
    }

    private fun offer(
        perSecond: Int,
        answerTokens: Int,
        answered: AtomicInteger,
    ) {
        val pool = Executors.newScheduledThreadPool(THREADS)
        repeat(perSecond * seconds) { number ->
            val atMs = number * MS_PER_SECOND / perSecond
            pool.schedule({ if (call(number, answerTokens)) answered.incrementAndGet() }, atMs, TimeUnit.MILLISECONDS)
        }
        pool.shutdown()
        pool.awaitTermination(seconds + COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    private fun call(
        number: Int,
        answerTokens: Int,
    ): Boolean {
        val body =
            """{"messages":[{"role":"user","content":"history $number [[answer=$answerTokens]]"}],""" +
                """"stream":true,"max_tokens":200,"metadata":{"work":"fleet-inspection"}}"""
        val request =
            Request
                .Builder()
                .url("${deployment.entryUrl(0)}/v1/chat/completions")
                .header("Authorization", "Bearer ${Deployments.API_KEY}")
                .post(body.toRequestBody("application/json".toMediaType()))
        return http.newCall(request.build()).execute().use { it.isSuccessful && it.body.string().contains("[DONE]") }
    }

    private companion object {
        const val THREADS = 64
        const val MS_PER_SECOND = 1_000L
        const val COMPLETION_TIMEOUT_SECONDS = 10L
    }
}
