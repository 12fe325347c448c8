package io.knapweedferry.it.once

import io.knapweedferry.it.ApiClient
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Sends concurrent `tag-stamp` requests and records the responses by idempotency key. */
internal class TagStampClient(
    private val deployment: LocalDeployment,
) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool()
    private val apiClient = ApiClient()
    private val otherApiClient = ApiClient(Deployments.OTHER_API_KEY)
    private val sentRequests = AtomicLong()
    private val pending = ConcurrentLinkedQueue<CompletableFuture<TagStampResponse>>()

    val responses = ConcurrentHashMap<String, ConcurrentLinkedQueue<TagStampResponse>>()

    val requestCount: Long get() = sentRequests.get()

    /** Starts an asynchronous call with [key] through [entry] and records its response. */
    fun start(
        key: String,
        entry: Int,
    ): CompletableFuture<TagStampResponse> =
        CompletableFuture
            .supplyAsync({ send(entry, key) }, executor)
            .whenComplete { response, _ -> response?.let { responses.computeIfAbsent(key) { ConcurrentLinkedQueue() }.add(it) } }
            .also(pending::add)

    /** Waits until every started call has ended. */
    fun awaitAll() {
        while (true) (pending.poll() ?: return).get(CALL_TIMEOUT_SECONDS, TimeUnit.SECONDS)
    }

    /** Sends one call; omits the `Idempotency-Key` header if [key] is null. */
    fun send(
        entry: Int,
        key: String?,
        asOtherOrganisation: Boolean = false,
        operation: String = "tag-stamp",
    ): TagStampResponse {
        val requestId = "stamp-${sentRequests.incrementAndGet()}"
        val headers = listOfNotNull("X-Request-Id" to requestId, key?.let { "Idempotency-Key" to it }).toMap()
        val url = "${deployment.entryUrl(entry)}/v1/services/dock-clerk/$operation"
        return try {
            val response = (if (asOtherOrganisation) otherApiClient else apiClient).post(url, requestBody(key), headers)
            TagStampResponse(requestId, response.status, response.body)
        } catch (e: IOException) {
            TagStampResponse(requestId, status = null, body = e.toString())
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    companion object {
        private const val CALL_TIMEOUT_SECONDS = 60L

        /** Request body that contains its key, so that the body hash in the response identifies the request. */
        fun requestBody(key: String?): String = """{"jacket":"$key"}"""
    }
}
