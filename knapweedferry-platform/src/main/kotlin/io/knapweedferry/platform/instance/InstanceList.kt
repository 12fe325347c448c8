package io.knapweedferry.platform.instance

import arrow.core.Either
import io.knapweedferry.platform.PlatformError

/** The platform's list of live and leaving instances; it lags behind the truth. */
public interface InstanceList {
    /** Returns all instances that the platform lists now. */
    public suspend fun list(): Either<PlatformError, List<ListedInstance>>
}
