package io.knapweedferry.platform.instance

import arrow.core.Either
import io.knapweedferry.platform.PlatformError

/** The platform's list of live and leaving instances. It lags behind the actual state of the instances. */
public interface InstanceList {
    /** Returns all instances currently listed by the platform. */
    public suspend fun list(): Either<PlatformError, List<ListedInstance>>
}
