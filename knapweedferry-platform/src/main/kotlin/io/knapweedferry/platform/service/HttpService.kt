package io.knapweedferry.platform.service

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.BufferedResponse
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpErrorMapper
import io.knapweedferry.platform.http.HttpTransport
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.net.HttpURLConnection.HTTP_BAD_GATEWAY
import java.net.HttpURLConnection.HTTP_GATEWAY_TIMEOUT
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/**
 * [Service] that uses `POST /services/{service}/operations/{operation}`. Responses of the service are returned with their
 * status, except 502, 503 and 504: they mean that the operation was not executed or that a gateway got no response.
 */
public class HttpService(
    transport: HttpTransport,
    baseUrl: String,
) : Service {
    private val http = HttpApiClient(transport.client, baseUrl)

    override suspend fun call(request: ServiceRequest): Either<PlatformError, ServiceResult> {
        val httpRequest =
            Request
                .Builder()
                .url(http.url("services", request.service, "operations", request.operation))
                .header("X-Request-Id", request.requestId)
                .apply { request.idempotencyKey?.let { header("Idempotency-Key", it) } }
                .post(request.body.toRequestBody(JSON_TYPE))
                .build()
        return http.exchange(httpRequest, request.timeoutMs).flatMap(::toResult)
    }

    private fun toResult(response: BufferedResponse): Either<PlatformError, ServiceResult> {
        if (response.status in STATUSES_WITHOUT_RESULT) return HttpErrorMapper.ofStatus(response).left()
        return ServiceResult(response.status, response.contentType, response.body).right()
    }

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
        val STATUSES_WITHOUT_RESULT = setOf(HTTP_BAD_GATEWAY, HTTP_UNAVAILABLE, HTTP_GATEWAY_TIMEOUT)
    }
}
