package io.knapweedferry.routing.organisation

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.routing.model.ApiKey
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RouteTable
import io.knapweedferry.routing.pipeline.LocalResponse

/** Decides from one version of the configuration whether a request may run, and for which organisation. */
internal object CallerAuthentication {
    /**
     * Returns the organisation of the request, null if it has none, or the response that refuses it. [isConfirmed] is false if
     * a key of [table] may have been removed for longer than the revocation limit. A key counts for nothing then: routes that
     * need one refuse the request, and public routes serve it without an organisation.
     */
    fun decide(
        table: RouteTable,
        route: Route,
        key: ApiKey?,
        isConfirmed: Boolean,
    ): Either<LocalResponse, Organisation?> {
        if (table.organisations == null) return null.right()
        val organisation = if (isConfirmed) key?.let(table::organisation) else null
        return when {
            organisation != null || route.isPublic -> organisation.right()
            !isConfirmed -> LocalResponse.KEYS_UNCONFIRMED.left()
            key == null -> LocalResponse.KEY_MISSING.left()
            else -> LocalResponse.KEY_UNKNOWN.left()
        }
    }
}
