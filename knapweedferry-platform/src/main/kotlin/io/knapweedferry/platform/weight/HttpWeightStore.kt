package io.knapweedferry.platform.weight

import arrow.core.Either
import io.knapweedferry.api.ModelName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpTransport

/** [WeightStore] that uses `GET /models/{model}/versions/{version}`. */
public class HttpWeightStore(
    transport: HttpTransport,
    baseUrl: String,
    private val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) : WeightStore {
    private val http = HttpApiClient(transport.client, baseUrl)

    override suspend fun describe(
        model: ModelName,
        version: String,
    ): Either<PlatformError, WeightInfo> =
        http.get(http.url("models", model.value, "versions", version), timeoutMs, WeightInfo.serializer())

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 3_000L
    }
}
