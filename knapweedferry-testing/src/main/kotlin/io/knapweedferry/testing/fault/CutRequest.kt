package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Body of `POST /admin/routes/{route}/cut`. */
@Serializable
internal data class CutRequest(
    /** Whether to close the open connections. */
    val existing: Boolean = true,
    /** Whether to refuse new connections until the route is healed. */
    val new: Boolean = true,
)
