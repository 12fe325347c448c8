package io.knapweedferry.entry.operator

import arrow.core.Either
import io.knapweedferry.api.RequestId
import io.knapweedferry.platform.PlatformError
import kotlinx.serialization.json.JsonElement

/** Looks up the audit records of a request. */
public fun interface RequestExplainer {
    /** Returns the records as JSON, or null if there are none. */
    public suspend fun explain(request: RequestId): Either<PlatformError, JsonElement?>
}
