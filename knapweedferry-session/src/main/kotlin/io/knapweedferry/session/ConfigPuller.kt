package io.knapweedferry.session

import io.knapweedferry.api.Revision
import io.knapweedferry.api.message.ConfigOffer
import io.knapweedferry.api.message.ConfigPull
import kotlinx.coroutines.async
import kotlinx.coroutines.awaitAll
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds

/** Reads the configuration from a few sidecars, so that a process stays up to date while the log is unavailable. */
public class ConfigPuller(
    private val sessions: SessionClient,
    private val addresses: () -> List<String>,
    private val random: Random = Random.Default,
) {
    /** Returns the offer with the highest revision of the peers that answered in time, or null if none did. */
    public suspend fun pull(newerThan: Revision): ConfigOffer? =
        coroutineScope {
            addresses()
                .shuffled(random)
                .take(MAX_PEERS)
                .map { address -> async { withTimeoutOrNull(PULL_TIMEOUT_MS.milliseconds) { pullFrom(address, newerThan) } } }
                .awaitAll()
                .filterNotNull()
                .maxByOrNull { it.revision }
        }

    private suspend fun pullFrom(
        address: String,
        newerThan: Revision,
    ): ConfigOffer? {
        val exchange = sessions.open(address, ConfigPull(newerThan)).getOrNull() ?: return null
        return exchange.use { it.receive().getOrNull() as? ConfigOffer }
    }

    private companion object {
        /** Tolerates a stale or dead peer without causing a burst of requests on recovery. */
        const val MAX_PEERS = 3
        const val PULL_TIMEOUT_MS = 1_000L
    }
}
