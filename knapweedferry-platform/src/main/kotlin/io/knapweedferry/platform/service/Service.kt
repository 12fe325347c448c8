package io.knapweedferry.platform.service

import arrow.core.Either
import io.knapweedferry.platform.PlatformError

/** One plain service. Only its sidecar uses this. */
public interface Service {
    /** Calls [operation] once; never retries on its own. */
    public suspend fun call(order: ServiceOrder): Either<PlatformError, ServiceResult>
}
