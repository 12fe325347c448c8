package io.knapweedferry.config.settings

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Settings file of `knapweedferryd entry`. */
@Serializable
public data class EntrySettings(
    val process: ProcessSettings,
    val http: HttpSettings,
    @SerialName("operator")
    val operators: List<OperatorSettings> = emptyList(),
    val session: SessionSettings,
    val platform: PlatformSettings,
    val claims: ClaimsSettings = ClaimsSettings(),
    val placement: PlacementSettings = PlacementSettings(),
    val retry: RetrySettings = RetrySettings(),
    val audit: AuditSettings = AuditSettings(),
    val shutdown: ShutdownSettings = ShutdownSettings(),
)
