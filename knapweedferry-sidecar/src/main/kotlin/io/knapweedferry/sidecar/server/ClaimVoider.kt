package io.knapweedferry.sidecar.server

import arrow.core.Either
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.platform.PlatformError

/** Appends void records for claims that were never dispatched. */
public fun interface ClaimVoider {
    /** Appends a void record for [claim] to its log stream; may be called again for the same claim. */
    public suspend fun appendVoid(claim: ClaimRef): Either<PlatformError, Unit>
}
