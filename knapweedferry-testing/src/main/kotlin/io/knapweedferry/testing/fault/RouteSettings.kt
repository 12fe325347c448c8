package io.knapweedferry.testing.fault

import io.ktor.network.sockets.InetSocketAddress

/** One listening port and where it forwards to. A listening port of 0 leaves the choice to the system. */
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
            requireNotNull(match) { "route '$text' is not understood; write NAME=LISTEN_IP:PORT=TARGET_IP:PORT" }
            return RouteSettings(match.groupValues[1], address(match, LISTEN_GROUP), address(match, TARGET_GROUP))
        }

        private fun address(
            match: MatchResult,
            group: Int,
        ) = InetSocketAddress(match.groupValues[group], match.groupValues[group + 1].toInt())
    }
}
