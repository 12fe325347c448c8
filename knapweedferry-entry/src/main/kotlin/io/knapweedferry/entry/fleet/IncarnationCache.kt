package io.knapweedferry.entry.fleet

import arrow.core.Either
import arrow.core.flatMap
import io.knapweedferry.api.Incarnation
import io.knapweedferry.api.message.Describe
import io.knapweedferry.api.message.Described
import io.knapweedferry.session.SessionClient
import io.knapweedferry.session.SessionError
import java.util.concurrent.ConcurrentHashMap

/** Caches the incarnation (identity of the current run) of each sidecar. Claims carry it to detect restarted sidecars. */
internal class IncarnationCache(
    private val sessions: SessionClient,
) {
    private val incarnations = ConcurrentHashMap<String, Incarnation>()

    suspend fun incarnationOf(address: String): Either<SessionError, Incarnation> {
        incarnations[address]?.let { return Either.Right(it) }
        return sessions
            .call(address, Describe)
            .flatMap { if (it is Described) Either.Right(it.incarnation) else unexpectedReply(it) }
            .onRight { incarnations[address] = it }
    }

    /** Removes the cached incarnation, which may be outdated after a refused call. */
    fun invalidate(address: String) {
        incarnations.remove(address)
    }
}
