package io.knapweedferry.platform.service

import arrow.core.Either
import io.knapweedferry.platform.PlatformError

/** Client of a plain HTTP service. Only the sidecar of the service uses it. */
public interface Service {
    /** Sends the call once, without retries, because the operation may not be idempotent. */
    public suspend fun call(request: ServiceRequest): Either<PlatformError, ServiceResult>
}
