package io.knapweedferry.config.settings

import io.knapweedferry.platform.instance.EndpointKind
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Kind of an endpoint as settings files write it. */
@Serializable
public enum class EndpointKindName(
    /** Kind as the rest of the system knows it. */
    public val kind: EndpointKind,
) {
    @SerialName("engine")
    ENGINE(EndpointKind.ENGINE),

    @SerialName("service")
    SERVICE(EndpointKind.SERVICE),
}
