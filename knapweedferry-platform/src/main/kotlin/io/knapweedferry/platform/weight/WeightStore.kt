package io.knapweedferry.platform.weight

import arrow.core.Either
import io.knapweedferry.api.ModelName
import io.knapweedferry.platform.PlatformError

/** The platform's rate-limited store of model weights. */
public interface WeightStore {
    /** Returns the size and download rate of a model version, used to estimate the cost of a plan. */
    public suspend fun describe(
        model: ModelName,
        version: String,
    ): Either<PlatformError, WeightInfo>
}
