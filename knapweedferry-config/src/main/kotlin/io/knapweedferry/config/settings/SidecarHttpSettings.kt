package io.knapweedferry.config.settings

import kotlinx.serialization.Serializable

/** Section `[http]` of a sidecar. Without an address, the sidecar starts no HTTP server. */
@Serializable
public data class SidecarHttpSettings(
    @TextRule(TextFormat.IP_PORT)
    val address: String? = null,
)
