package io.knapweedferry.it

import io.knapweedferry.testing.deploy.Deployments
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.util.concurrent.TimeUnit

/** Sends requests as callers do. */
internal class Caller(
    private val apiKey: String = Deployments.API_KEY,
) {
    private val http = OkHttpClient.Builder().readTimeout(READ_TIMEOUT_SECONDS, TimeUnit.SECONDS).build()

    /** Status and body of a POST. */
    fun post(
        url: String,
        body: String,
        headers: Map<String, String> = emptyMap(),
    ): CallerReply {
        val request = Request.Builder().url(url).post(body.toRequestBody("application/json".toMediaType()))
        request.header("Authorization", "Bearer $apiKey")
        headers.forEach { (name, value) -> request.header(name, value) }
        return http.newCall(request.build()).execute().use { CallerReply(it.code, it.body.string()) }
    }

    internal companion object {
        const val READ_TIMEOUT_SECONDS = 60L

        /** Body of a chat request whose answer has [answerTokens] tokens. */
        fun chat(
            work: String,
            text: String,
            answerTokens: Int,
            stream: Boolean = false,
        ): String =
            """{"messages":[{"role":"user","content":"$text [[answer=$answerTokens]]"}],""" +
                """"stream":$stream,"max_tokens":2048,"metadata":{"work":"$work"}}"""
    }
}
