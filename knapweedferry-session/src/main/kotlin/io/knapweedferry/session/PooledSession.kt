package io.knapweedferry.session

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/** Session to one address that is being made or stands. */
internal class PooledSession {
    private val result = CompletableDeferred<Either<SessionError, ClientSession>>()

    @OptIn(ExperimentalCoroutinesApi::class)
    val session: ClientSession? get() = if (result.isCompleted) result.getCompleted().getOrNull() else null

    /** Whether callers may wait for, or use, this link. */
    val isUsable: Boolean get() = !result.isCompleted || session?.isUsable == true

    suspend fun await(): Either<SessionError, ClientSession> = result.await()

    /** False if the link was given up in the meantime. */
    fun complete(outcome: Either<SessionError, ClientSession>): Boolean = result.complete(outcome)
}
