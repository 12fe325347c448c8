package io.knapweedferry.it

import io.knapweedferry.testing.deploy.Deployments
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.TimeUnit

/** HTTP client that posts JSON requests with an API key. */
internal class ApiClient(
    private val apiKey: String = Deployments.API_KEY,
) {
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    /** Posts [body] and returns the response whatever its status. */
    fun post(
        url: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): ApiResponse {
        val request = Request.Builder().url(url).post(body.toRequestBody("application/json".toMediaType()))
        request.header("Authorization", "Bearer $apiKey")
        headers.forEach { (name, value) -> request.header(name, value) }
        return http.newCall(request.build()).execute().use { ApiResponse(it.code, it.body.string()) }
    }

    internal companion object {
        const val READ_TIMEOUT_SECONDS = 60L

        /** JSON body of a chat request that the engine stand-in answers with [answerTokens] tokens. */
        fun chatBody(
            workKind: String,
            text: String,
            answerTokens: Int,
            stream: Boolean = false,
        ): String =
            """{"messages":[{"role":"user","content":"$text [[answer=$answerTokens]]"}],""" +
                """"stream":$stream,"max_tokens":2048,"metadata":{"work":"$workKind"}}"""
    }
}
