package io.knapweedferry.platform.http

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/** HTTP connections and threads shared by all adapters of a process. Never retries or redirects a request on its own. */
public class HttpTransport(
    settings: HttpTransportSettings = HttpTransportSettings(),
) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, Int.MAX_VALUE, THREAD_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(task, "platform-http").apply { isDaemon = true }
        }

    /** For calls that are safe to retry. Uses persistent connections. */
    internal val pooled: OkHttpClient =
        OkHttpClient
            .Builder()
            .dispatcher(dispatcher(settings))
            .connectionPool(ConnectionPool(settings.maxIdleConnections, settings.keepAliveMs, TimeUnit.MILLISECONDS))
            .protocols(listOf(Protocol.HTTP_1_1))
            .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
            // The call timeout limits the whole exchange instead.
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .addNetworkInterceptor(SentFlagInterceptor)
            .build()

    /**
     * For calls that must not be retried. Opens a new connection for each call: if a persistent connection is closed by the
     * other side at the time of sending, the failure cannot be distinguished from a lost response.
     */
    internal val unpooled: OkHttpClient =
        pooled
            .newBuilder()
            .connectionPool(ConnectionPool(0, 1, TimeUnit.MILLISECONDS))
            .build()

    /** For token streams. */
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
            maxRequests = settings.maxConcurrentCalls
            maxRequestsPerHost = settings.maxConcurrentCalls
        }

    private companion object {
        const val THREAD_KEEP_ALIVE_SECONDS = 10L
    }
}
