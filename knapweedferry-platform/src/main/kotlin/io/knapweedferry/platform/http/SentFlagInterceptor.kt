package io.knapweedferry.platform.http

import okhttp3.Interceptor
import okhttp3.Response

/**
 * Sets the [SentFlag] of a request. Network interceptors run after the connection is established and before the first byte is
 * written, so a request that fails with the flag unset had no effect.
 */
internal object SentFlagInterceptor : Interceptor {
    override fun intercept(chain: Interceptor.Chain): Response {
        chain.request().tag(SentFlag::class.java)?.set()
        // OkHttp retries a 503 response with "Retry-After: 0" even if retryOnConnectionFailure is off.
        return chain
            .proceed(chain.request())
            .newBuilder()
            .removeHeader("Retry-After")
            .build()
    }
}
