package io.knapweedferry.testing.fault

import io.ktor.network.sockets.InetSocketAddress

/** Listening address of a route and the target to which it forwards. Port 0 lets the system choose a listening port. */
internal data class RouteSettings(
    val name: String,
    val listen: InetSocketAddress,
    val target: InetSocketAddress,
) {
    companion object {
        private val FORMAT = Regex("""([^=]+)=([^=]+):(\d+)=([^=]+):(\d+)""")
        private const val LISTEN_GROUP = 2
        private const val TARGET_GROUP = 4

        /** Parses `NAME=LISTEN_IP:PORT=TARGET_IP:PORT`. */
        fun parse(text: String): RouteSettings {
            val match = FORMAT.matchEntire(text)
            requireNotNull(match) { "invalid route '$text'; expected NAME=LISTEN_IP:PORT=TARGET_IP:PORT" }
            return RouteSettings(match.groupValues[1], address(match, LISTEN_GROUP), address(match, TARGET_GROUP))
        }

        private fun address(
            match: MatchResult,
            group: Int,
        ) = InetSocketAddress(match.groupValues[group], match.groupValues[group + 1].toInt())
    }
}
