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
                .take(PEERS)
                .map { address -> async { withTimeoutOrNull(TIMEOUT_MS.milliseconds) { ask(address, newerThan) } } }
                .awaitAll()
                .filterNotNull()
                .maxByOrNull { it.revision }
        }

    private suspend fun ask(
        address: String,
        newerThan: Revision,
    ): ConfigOffer? {
        val exchange = sessions.open(address, ConfigPull(newerThan)).getOrNull() ?: return null
        return exchange.use { it.receive().getOrNull() as? ConfigOffer }
    }

    private companion object {
        /** Tolerates a stale or dead peer without causing a burst of requests on recovery. */
        const val PEERS = 3
        const val TIMEOUT_MS = 1_000L
    }
}
