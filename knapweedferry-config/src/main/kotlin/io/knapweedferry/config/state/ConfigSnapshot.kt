package io.knapweedferry.config.state

import io.knapweedferry.api.Revision

/** A configuration together with the revision that produced it. */
public data class ConfigSnapshot(
    val revision: Revision,
    val state: ConfigState,
    /** Last log offset that was folded into it. */
    val foldedOffset: Long,
)
