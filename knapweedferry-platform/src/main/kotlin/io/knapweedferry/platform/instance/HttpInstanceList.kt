package io.knapweedferry.platform.instance

import arrow.core.Either
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpTransport
import kotlinx.serialization.builtins.ListSerializer

/** [InstanceList] that uses `GET /instances`. */
public class HttpInstanceList(
    transport: HttpTransport,
    baseUrl: String,
    private val timeoutMs: Long = DEFAULT_TIMEOUT_MS,
) : InstanceList {
    private val http = HttpApiClient(transport.client, baseUrl)

    override suspend fun list(): Either<PlatformError, List<ListedInstance>> =
        http.get(http.url("instances"), timeoutMs, ListSerializer(ListedInstance.serializer()))

    private companion object {
        const val DEFAULT_TIMEOUT_MS = 3_000L
    }
}
