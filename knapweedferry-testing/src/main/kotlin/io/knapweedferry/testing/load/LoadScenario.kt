package io.knapweedferry.testing.load

import com.akuleshov7.ktoml.Toml
import io.knapweedferry.api.Rank
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.serializer

/** Load to send to a deployment, read from TOML. */
@Serializable
public data class LoadScenario(
    val name: String = "load",
    val seed: Long = 1,
    @SerialName("duration_ms")
    val durationMs: Long,
    /** Base URLs of entries; each request goes to a random one. */
    val entries: List<String>,
    /** Time after which a request is cancelled and counted as failed. */
    @SerialName("request_timeout_ms")
    val requestTimeoutMs: Long = DEFAULT_REQUEST_TIMEOUT_MS,
    /** Maximum number of concurrent requests. Further requests wait in the driver, and the wait counts as latency. */
    @SerialName("max_in_flight")
    val maxInFlight: Int = DEFAULT_MAX_IN_FLIGHT,
    val work: List<LoadWork>,
    val organisations: List<LoadOrganisation>,
    val targets: List<LoadTarget>,
    val floods: List<LoadFlood> = emptyList(),
    val capacity: LoadCapacity = LoadCapacity(),
) {
    init {
        val ranks = targets.map { it.rank }
        require(entries.isNotEmpty()) { "name at least one entry URL in entries" }
        require(organisations.isNotEmpty()) { "name at least one organisation" }
        require(ranks.all { it in RANKS }) { "use one of the ranks $RANKS in targets" }
        work.forEach { require(it.rank in ranks) { "add targets for rank ${it.rank} of work ${it.name}" } }
        work.forEach { require(it.model != null || it.service != null) { "name a model or a service for work ${it.name}" } }
        work.forEach { require(it.isChat || it.operation != null) { "name an operation for work ${it.name}" } }
        floods.forEach { flood ->
            require(work.any { it.name == flood.work }) { "unknown work ${flood.work} in floods; name one of the kinds of work" }
        }
    }

    /** Targets of [rank]. */
    public fun target(rank: String): LoadTarget = targets.first { it.rank == rank }

    /** Whether any flood is active [atMs] milliseconds after the start of the run. */
    public fun isFlooded(atMs: Long): Boolean = floods.any { it.covers(atMs) }

    public companion object {
        /** Names of the ranks in scenarios, most urgent first. */
        public val RANKS: List<String> = Rank.entries.map { it.name.lowercase() }
        private const val DEFAULT_REQUEST_TIMEOUT_MS = 30_000L

        /** Each open request occupies a thread of the HTTP client. */
        private const val DEFAULT_MAX_IN_FLIGHT = 300

        /** Parses a scenario; fails with [IllegalArgumentException] if it is inconsistent. */
        public fun parse(toml: String): LoadScenario = Toml.decodeFromString(serializer(), toml)
    }
}
