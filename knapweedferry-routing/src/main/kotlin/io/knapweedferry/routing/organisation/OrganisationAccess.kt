package io.knapweedferry.routing.organisation

import arrow.core.Either
import io.knapweedferry.routing.model.ApiKey
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.LogEvent

/**
 * Authenticates requests with the configuration of their view, and logs when keys stop and start to be accepted. Confined to
 * the event loop.
 */
internal class OrganisationAccess(
    /** Age from which the confirmation of a configuration no longer counts; null if none is needed. */
    private val revocationLimitMs: Long?,
    private val events: EventLog,
) {
    private var isRefusingKeys = false

    /** Returns the organisation of a request for [route], null if it has none, or the response that refuses it. */
    fun authenticate(
        view: RoutingView,
        route: Route,
        key: ApiKey?,
    ): Either<LocalResponse, Organisation?> {
        val table = requireNotNull(view.table) { "a route comes from a configuration" }
        val isConfirmed = acceptsKeys(view)
        if (table.organisations != null) logChange(view, isConfirmed)
        return CallerAuthentication.decide(table, route, key, isConfirmed)
    }

    /** What [authenticate] would return, without a log line. */
    fun preview(
        view: RoutingView,
        route: Route,
        key: ApiKey?,
    ): Either<LocalResponse, Organisation?> {
        val table = requireNotNull(view.table) { "a route comes from a configuration" }
        return CallerAuthentication.decide(table, route, key, acceptsKeys(view))
    }

    /** False if a key of the configuration may have been removed for longer than the revocation limit. */
    fun acceptsKeys(view: RoutingView): Boolean = revocationLimitMs == null || view.confirmedAt?.isWithin(revocationLimitMs) == true

    private fun logChange(
        view: RoutingView,
        isConfirmed: Boolean,
    ) {
        if (isConfirmed != isRefusingKeys) return
        isRefusingKeys = !isConfirmed
        events.write(
            if (isConfirmed) LogEvent.API_KEYS_CONFIRMED else LogEvent.API_KEYS_UNCONFIRMED,
            "version" to view.table?.version,
            "confirmation_age_ms" to view.confirmedAt?.elapsedMs,
            "limit_ms" to revocationLimitMs,
        )
    }
}
