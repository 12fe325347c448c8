package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings file of `knapweedferryd sidecar`. */
@Serializable
public data class SidecarSettings(
    val process: SidecarProcessSettings,
    val session: SidecarSessionSettings,
    val http: SidecarHttpSettings = SidecarHttpSettings(),
    @SerialName("endpoint")
    val endpoints: List<EndpointSettings>,
    val gate: GateSettings = GateSettings(),
    val platform: PlatformSettings,
    val audit: AuditSettings = AuditSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
)
