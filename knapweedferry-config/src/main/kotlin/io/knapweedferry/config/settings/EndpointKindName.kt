package io.knapweedferry.config.settings

import io.knapweedferry.platform.instance.EndpointKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Name of an [EndpointKind] in settings files. */
@Serializable
public enum class EndpointKindName(
    public val kind: EndpointKind,
) {
    @SerialName("engine")
    ENGINE(EndpointKind.ENGINE),

    @SerialName("service")
    SERVICE(EndpointKind.SERVICE),
}
