package io.knapweedferry.sidecar.server

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.platform.PlatformError
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive

/** Runs a call of an adapter and turns an exception into an error; cancellation of the caller passes through. */
internal suspend fun <T> mapExceptions(call: suspend () -> Either<PlatformError, T>): Either<PlatformError, T> =
    runCatching { call() }.getOrElse {
        currentCoroutineContext().ensureActive()
        PlatformError.NoAnswer("the adapter failed: $it").left()
    }
