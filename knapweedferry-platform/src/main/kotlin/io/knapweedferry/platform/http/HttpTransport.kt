package io.knapweedferry.platform.http

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** HTTP connections and threads that the adapters of one process share. Sends each request at most once. */
public class HttpTransport(
    settings: HttpTransportSettings = HttpTransportSettings(),
) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, Int.MAX_VALUE, THREAD_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(task, "platform-http").apply { isDaemon = true }
        }

    /** For calls that may be repeated; keeps connections open. */
    internal val pooled: OkHttpClient =
        OkHttpClient
            .Builder()
            .dispatcher(dispatcher(settings))
            .connectionPool(ConnectionPool(settings.idleConnections, settings.keepAliveMs, TimeUnit.MILLISECONDS))
            .protocols(listOf(Protocol.HTTP_1_1))
            .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
            // The timeout of the whole call applies instead.
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(SentInterceptor)
            .build()

    /**
     * For calls that must not be repeated. A new connection for each call, because a kept connection that the other side
     * closes just then could not be told from a lost answer.
     */
    internal val unpooled: OkHttpClient =
        pooled
            .newBuilder()
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .build()

    /** For streams of tokens. */
    internal val streaming: OkHttpClient =
        pooled
            .newBuilder()
            .readTimeout(settings.streamIdleTimeoutMs, TimeUnit.MILLISECONDS)
            .callTimeout(settings.streamTimeoutMs, TimeUnit.MILLISECONDS)
            .build()

    override fun close() {
        pooled.dispatcher.cancelAll()
        executor.shutdown()
        pooled.connectionPool.evictAll()
        unpooled.connectionPool.evictAll()
    }

    private fun dispatcher(settings: HttpTransportSettings): Dispatcher =
        Dispatcher(executor).apply {
            maxRequests = settings.maxCalls
            maxRequestsPerHost = settings.maxCalls
        }

    private companion object {
        const val THREAD_KEEP_ALIVE_SECONDS = 10L
    }
}
