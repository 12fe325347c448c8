package io.knapweedferry.testing.fault

import kotlinx.serialization.Serializable

/** Body of `POST /admin/routes/{route}/cut`. */
@Serializable
internal data class CutOrder(
    /** Closes the open connections. */
    val existing: Boolean = true,
    /** Refuses new connections until the route is healed. */
    val new: Boolean = true,
)
