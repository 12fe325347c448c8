package io.knapweedferry.policy.quarantine

import io.knapweedferry.api.PromptPartId

/** Why prompts are quarantined. */
public data class QuarantineReason(
    /** Prompts that contain all of these parts are quarantined. */
    val parts: Set<PromptPartId>,
    /** Number of crashes whose suspects contained these parts. */
    val crashCount: Int,
    /** Time until the quarantine ends unless there is a further crash. */
    val remainingMs: Long,
)
