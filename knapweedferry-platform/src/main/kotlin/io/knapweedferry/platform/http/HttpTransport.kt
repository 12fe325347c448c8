package io.knapweedferry.platform.http

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import java.util.concurrent.SynchronousQueue
import java.util.concurrent.ThreadPoolExecutor
import java.util.concurrent.TimeUnit

/**
 * HTTP clients and threads shared by all adapters of a process. Never retries or redirects a request on its own, and opens a new
 * connection for each request: responses do not name their request, so on a connection that is used again a late second response
 * to an earlier request would be taken for the response to the next one.
 */
public class HttpTransport(
    settings: HttpTransportSettings = HttpTransportSettings(),
) : AutoCloseable {
    private val executor =
        ThreadPoolExecutor(0, Int.MAX_VALUE, THREAD_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS, SynchronousQueue()) { task ->
            Thread(task, "platform-http").apply { isDaemon = true }
        }

    private val guard = ResponseGuard()

    /** For requests with a timeout of their own. */
    internal val client: OkHttpClient =
        OkHttpClient
            .Builder()
            .dispatcher(dispatcher(settings))
            // Without "Connection: close" in the request: a server may then omit the length, and a truncated body looks complete.
            .connectionPool(ConnectionPool(maxIdleConnections = 0, keepAliveDuration = 1, TimeUnit.MILLISECONDS))
            .protocols(listOf(Protocol.HTTP_1_1))
            .connectTimeout(settings.connectTimeoutMs, TimeUnit.MILLISECONDS)
            // The call timeout limits the whole exchange instead.
            .readTimeout(0, TimeUnit.MILLISECONDS)
            .writeTimeout(0, TimeUnit.MILLISECONDS)
            .retryOnConnectionFailure(false)
            .followRedirects(false)
            .followSslRedirects(false)
            .eventListener(guard)
            .addNetworkInterceptor(SentFlagInterceptor)
            .addNetworkInterceptor(guard)
            .build()

    /** For token streams. */
    internal val streaming: OkHttpClient =
        client
            .newBuilder()
            .readTimeout(settings.streamIdleTimeoutMs, TimeUnit.MILLISECONDS)
            .callTimeout(settings.streamTimeoutMs, TimeUnit.MILLISECONDS)
            .build()

    override fun close() {
        client.dispatcher.cancelAll()
        executor.shutdown()
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
