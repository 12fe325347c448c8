package io.knapweedferry.session

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import kotlinx.coroutines.ExperimentalCoroutinesApi

/** A session to one address in the pool of a client; it is open or being established. */
internal class PooledSession {
    private val result = CompletableDeferred<Either<SessionError, ClientSession>>()

    @OptIn(ExperimentalCoroutinesApi::class)
    val session: ClientSession? get() = if (result.isCompleted) result.getCompleted().getOrNull() else null

    /** Whether callers may await or use the session. */
    val isUsable: Boolean get() = !result.isCompleted || session?.isUsable == true

    suspend fun await(): Either<SessionError, ClientSession> = result.await()

    /** Sets the outcome of the connection attempt; false if it was set before, for example because the client was closed. */
    fun complete(outcome: Either<SessionError, ClientSession>): Boolean = result.complete(outcome)
}
