package io.knapweedferry.platform.service

import arrow.core.Either
import arrow.core.flatMap
import arrow.core.left
import arrow.core.right
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpEndpoint
import io.knapweedferry.platform.http.HttpFailures
import io.knapweedferry.platform.http.HttpReply
import io.knapweedferry.platform.http.HttpTransport
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import java.net.HttpURLConnection.HTTP_BAD_GATEWAY
import java.net.HttpURLConnection.HTTP_GATEWAY_TIMEOUT
import java.net.HttpURLConnection.HTTP_UNAVAILABLE

/**
 * [Service] over `POST /services/{service}/operations/{operation}`. Replies of the service pass through with their
 * status, except those that say that the operation was not done or that a gateway got no answer.
 */
public class HttpService(
    transport: HttpTransport,
    baseUrl: String,
) : Service {
    private val http = HttpEndpoint(transport.unpooled, baseUrl)

    override suspend fun call(order: ServiceOrder): Either<PlatformError, ServiceResult> {
        val request =
            Request
                .Builder()
                .url(http.url("services", order.service, "operations", order.operation))
                .header("X-Request-Id", order.requestId)
                .apply { order.idempotencyKey?.let { header("Idempotency-Key", it) } }
                .post(order.body.toRequestBody(JSON_TYPE))
                .build()
        return http.exchange(request, order.timeoutMs).flatMap(::toResult)
    }

    private fun toResult(reply: HttpReply): Either<PlatformError, ServiceResult> {
        if (reply.status in STATUSES_WITHOUT_REPLY) return HttpFailures.ofStatus(reply).left()
        return ServiceResult(reply.status, reply.contentType, reply.body).right()
    }

    private companion object {
        val JSON_TYPE = "application/json".toMediaType()
        val STATUSES_WITHOUT_REPLY = setOf(HTTP_BAD_GATEWAY, HTTP_UNAVAILABLE, HTTP_GATEWAY_TIMEOUT)
    }
}
