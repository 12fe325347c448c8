package io.knapweedferry.it.once

import io.knapweedferry.it.Caller
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.Executors
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

/** Sends tag stamps, many at a time, and keeps every reply by key. */
internal class StampCalls(
    private val deployment: LocalDeployment,
) : AutoCloseable {
    private val executor = Executors.newCachedThreadPool()
    private val caller = Caller()
    private val other = Caller(Deployments.OTHER_API_KEY)
    private val requests = AtomicLong()
    private val pending = ConcurrentLinkedQueue<CompletableFuture<StampReply>>()

    val replies = ConcurrentHashMap<String, ConcurrentLinkedQueue<StampReply>>()

    val requestCount: Long get() = requests.get()

    /** Starts a call with [key] through [entry] and records its reply. */
    fun start(
        key: String,
        entry: Int,
    ): CompletableFuture<StampReply> =
        CompletableFuture
            .supplyAsync({ send(entry, key) }, executor)
            .whenComplete { reply, _ -> reply?.let { replies.computeIfAbsent(key) { ConcurrentLinkedQueue() }.add(it) } }
            .also(pending::add)

    /** Waits until every started call has ended. */
    fun awaitAll() {
        while (true) (pending.poll() ?: return).get(CALL_LIMIT_SECONDS, TimeUnit.SECONDS)
    }

    /** One call; without a [key] the header is missing. */
    fun send(
        entry: Int,
        key: String?,
        byOther: Boolean = false,
        operation: String = "tag-stamp",
    ): StampReply {
        val requestId = "stamp-${requests.incrementAndGet()}"
        val headers = listOfNotNull("X-Request-Id" to requestId, key?.let { "Idempotency-Key" to it }).toMap()
        val url = "${deployment.entryUrl(entry)}/v1/services/dock-clerk/$operation"
        return try {
            val reply = (if (byOther) other else caller).post(url, bodyOf(key), headers)
            StampReply(requestId, reply.status, reply.body)
        } catch (e: IOException) {
            StampReply(requestId, status = null, body = e.toString())
        }
    }

    override fun close() {
        executor.shutdownNow()
    }

    companion object {
        private const val CALL_LIMIT_SECONDS = 60L

        /** Body that names its key, so that the hash in the answer shows whose answer it is. */
        fun bodyOf(key: String?): String = """{"jacket":"$key"}"""
    }
}
