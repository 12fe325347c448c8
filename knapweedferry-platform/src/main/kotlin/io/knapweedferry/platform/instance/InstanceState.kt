package io.knapweedferry.platform.instance

import kotlinx.serialization.Serializable

/** Lifecycle state of an instance in the platform's list. */
@Serializable
public enum class InstanceState {
    LIVE,
    LEAVING,
}
