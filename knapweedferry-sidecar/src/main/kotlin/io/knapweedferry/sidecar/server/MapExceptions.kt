package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Maps an exception from an engine or service adapter to an error; cancellation of the caller is rethrown. */
internal suspend fun <T> mapExceptions(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
    runCatching { call() }.getOrElse {
        currentCoroutineContext().ensureActive()
        PlatformError.NoResponse("the adapter threw $it").left()
    }
