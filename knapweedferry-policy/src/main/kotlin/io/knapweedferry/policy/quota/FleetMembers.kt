package io.knapweedferry.policy.quota

/** The entries of the fleet, as their reports show them. */
internal class FleetMembers {
    private val peers = HashMap<String, PeerState>()

    /** Number of entries with this one. */
    var entries = QuotaTiming.REFERENCE_ENTRIES
        private set
    var timing = QuotaTiming(entries)
        private set

    fun heardAtS(node: String): Double? = peers[node]?.heardAtS

    operator fun get(node: String): PeerState? = peers[node]

    operator fun set(
        node: String,
        state: PeerState,
    ) {
        peers[node] = state
    }

    /** Returns the entries that have ended, and forgets them. */
    fun removeOlderThan(
        nowS: Double,
        limitS: Double,
    ): List<String> {
        val ended = peers.filterValues { nowS - it.heardAtS > limitS }.keys.toList()
        peers -= ended
        return ended
    }

    fun recount() {
        entries = peers.size + 1
        timing = QuotaTiming(entries)
    }
}
