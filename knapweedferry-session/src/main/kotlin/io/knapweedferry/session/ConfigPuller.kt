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

/** Asks a few sidecars for their configuration and returns the newest, so that a process can follow while the log is down. */
public class ConfigPuller(
    private val sessions: SessionClient,
    private val addresses: () -> List<String>,
    private val random: Random = Random.Default,
) {
    /** Newest offer of the peers that answered in time, or null if none did. */
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
        /** Enough that one stale or dead peer does not matter, few enough that recovery causes no burst. */
        const val PEERS = 3
        const val TIMEOUT_MS = 1_000L
    }
}
