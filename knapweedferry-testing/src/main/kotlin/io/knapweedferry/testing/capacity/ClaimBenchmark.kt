package io.knapweedferry.testing.capacity

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.json.jsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Measures log appends per claim through one entry, and the resources that an idle second entry uses to follow the log. */
internal class ClaimBenchmark(
    private val deployment: LocalDeployment,
    private val seconds: Int,
) {
    private val http = OkHttpClient()
    private val keys = Generators.timeBasedEpochGenerator()

    fun measure(callers: Int) {
        val answered = AtomicInteger()
        val refused = AtomicInteger()
        val appendsBefore = appendCount()
        val use =
            ResourceUsage.during(deployment.entries) {
                val pool = Executors.newFixedThreadPool(callers)
                val end = System.nanoTime() + TimeUnit.SECONDS.toNanos(seconds.toLong())
                repeat(callers) {
                    pool.execute { while (System.nanoTime() < end) (if (call()) answered else refused).incrementAndGet() }
                }
                pool.shutdown()
                pool.awaitTermination(seconds + COMPLETION_TIMEOUT_SECONDS, TimeUnit.SECONDS)
            }
        println("$callers callers: ${answered.get()} claimed and run, ${refused.get()} not, ${appendCount() - appendsBefore} appends")
        println("  entry with load ${use[0]}")
        println("  entry without load ${use[1]}")
    }

    private fun appendCount() =
        deployment
            .statistics("log")
            .getValue("appends")
            .jsonPrimitive.content
            .toLong()

    private fun call(): Boolean {
        val request =
            Request
                .Builder()
                .url("${deployment.entryUrl(0)}/v1/services/dock-clerk/tag-stamp")
                .header("Authorization", "Bearer ${Deployments.API_KEY}")
                .header("Idempotency-Key", keys.generate().toString())
                .post("{}".toRequestBody("application/json".toMediaType()))
        return http.newCall(request.build()).execute().use { it.isSuccessful }
    }

    private companion object {
        const val COMPLETION_TIMEOUT_SECONDS = 10L
    }
}
