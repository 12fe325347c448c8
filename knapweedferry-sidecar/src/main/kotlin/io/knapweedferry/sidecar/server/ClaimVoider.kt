package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.platform.PlatformError

/** Writes void records for claims that were never dispatched. */
public fun interface ClaimVoider {
    /** Appends a void for [claim] to the claim's stream; may be called again for the same claim. */
    public suspend fun appendVoid(claim: ClaimRef): Either<PlatformError, Unit>
}
