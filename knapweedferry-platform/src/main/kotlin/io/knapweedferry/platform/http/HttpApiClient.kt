package io.knapweedferry.platform.http

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.suspendCancellableCoroutine
import kotlinx.serialization.KSerializer
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.HttpUrl
import okhttp3.HttpUrl.Companion.toHttpUrl
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import java.io.IOException
import java.util.concurrent.TimeUnit
import kotlin.coroutines.resume

/** Sends requests to one base URL and maps every failure to [PlatformError]. Does not retry. */
internal class HttpApiClient(
    private val client: OkHttpClient,
    baseUrl: String,
) {
    private val base: HttpUrl = baseUrl.toHttpUrl()

    fun url(
        vararg segments: String,
        query: Map<String, String> = emptyMap(),
    ): HttpUrl {
        val builder = base.newBuilder()
        segments.forEach(builder::addPathSegment)
        query.forEach(builder::addQueryParameter)
        return builder.build()
    }

    suspend fun <T> get(
        url: HttpUrl,
        timeoutMs: Long,
        serializer: KSerializer<T>,
    ): Either<PlatformError, T> = exchange(Request.Builder().url(url).build(), timeoutMs).flatMap { decode(it, serializer) }

    suspend fun <T> post(
        url: HttpUrl,
        timeoutMs: Long,
        body: RequestBody,
        serializer: KSerializer<T>,
    ): Either<PlatformError, T> = post(url, timeoutMs, body).flatMap { decode(it, serializer) }

    suspend fun post(
        url: HttpUrl,
        timeoutMs: Long,
        body: RequestBody,
    ): Either<PlatformError, BufferedResponse> =
        exchange(
            Request
                .Builder()
                .url(url)
                .post(body)
                .build(),
            timeoutMs,
        ).flatMap(::requireSuccess)

    /** Returns the response whatever its status; the caller interprets the status. */
    suspend fun exchange(
        request: Request,
        timeoutMs: Long,
    ): Either<PlatformError, BufferedResponse> {
        // OkHttp treats a timeout of zero as no timeout.
        if (timeoutMs <= 0) return PlatformError.NotSent("timeout expired before the request was sent; allow a longer timeout").left()
        val sentFlag = SentFlag()
        val call = client.newCall(request.newBuilder().tag(SentFlag::class.java, sentFlag).build())
        call.timeout().timeout(timeoutMs, TimeUnit.MILLISECONDS)
        return suspendCancellableCoroutine { continuation ->
            continuation.invokeOnCancellation { call.cancel() }
            call.enqueue(
                object : Callback {
                    override fun onFailure(
                        call: Call,
                        e: IOException,
                    ) = continuation.resume(HttpErrorMapper.ofException(e, sentFlag).left())

                    override fun onResponse(
                        call: Call,
                        response: Response,
                    ) = continuation.resume(response.use { readResponse(it, sentFlag) })
                },
            )
        }
    }

    private fun readResponse(
        response: Response,
        sentFlag: SentFlag,
    ): Either<PlatformError, BufferedResponse> =
        try {
            val source = response.body.source()
            if (source.request(MAX_BODY_BYTES + 1)) {
                PlatformError.InvalidResponse("response exceeds $MAX_BODY_BYTES bytes; request less data at once").left()
            } else {
                val contentType = response.header("Content-Type") ?: "application/octet-stream"
                requireSingle(BufferedResponse(response.code, contentType, response.body.string()))
            }
        } catch (e: IOException) {
            HttpErrorMapper.ofException(e, sentFlag).left()
        }

    companion object {
        private const val MAX_BODY_BYTES = 16L * 1024 * 1024
        private val JSON_TYPE = "application/json".toMediaType()

        fun <T> jsonBody(
            serializer: KSerializer<T>,
            value: T,
        ): RequestBody = WireJson.encodeToString(serializer, value).toRequestBody(JSON_TYPE)

        private fun requireSingle(response: BufferedResponse): Either<PlatformError, BufferedResponse> {
            if (!EmbeddedResponseCheck.isIn(response)) return response.right()
            return PlatformError.InvalidResponse("the body contains another response; take the server out of use").left()
        }

        private fun requireSuccess(response: BufferedResponse): Either<PlatformError, BufferedResponse> =
            if (response.status / STATUS_CLASS == 2) response.right() else HttpErrorMapper.ofStatus(response).left()

        private fun <T> decode(
            response: BufferedResponse,
            serializer: KSerializer<T>,
        ): Either<PlatformError, T> =
            requireSuccess(response).flatMap {
                try {
                    WireJson.decodeFromString(serializer, it.body).right()
                } catch (e: SerializationException) {
                    HttpErrorMapper.decodingFailure(e).left()
                }
            }

        private const val STATUS_CLASS = 100
    }
}
