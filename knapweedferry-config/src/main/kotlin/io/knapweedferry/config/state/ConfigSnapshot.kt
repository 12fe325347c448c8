package io.knapweedferry.config.state

import io.knapweedferry.api.Revision

/** Configuration at a revision. */
public data class ConfigSnapshot(
    val revision: Revision,
    val state: ConfigState,
    /** Offset of the last log record that was applied. */
    val appliedOffset: Long,
)
