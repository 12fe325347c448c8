package io.knapweedferry.platform.http

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Marks a request as sent. As a network interceptor it runs after the connection stands and before the first byte is
 * written, so a failure without the mark is certain to have had no effect.
 */
internal object SentInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.request().tag(SentMark::class.java)?.set()
        // OkHttp repeats a request whose 503 says "Retry-After: 0", whatever retryOnConnectionFailure says.
        return chain
            .proceed(chain.request())
            .newBuilder()
            .removeHeader("Retry-After")
            .build()
    }
}
