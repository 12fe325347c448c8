package io.knapweedferry.entry

import io.knapweedferry.config.settings.EntrySettings
import io.knapweedferry.config.settings.PlacementPolicyName
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.IncarnationCache
import io.knapweedferry.entry.fleet.PrefixCacheHints
import io.knapweedferry.entry.http.CallerRoutes
import io.knapweedferry.entry.http.ChatRoute
import io.knapweedferry.entry.http.ModelsRoute
import io.knapweedferry.entry.http.RouteGroup
import io.knapweedferry.entry.http.ServiceRoute
import io.knapweedferry.entry.http.UnexpectedErrorHandler
import io.knapweedferry.entry.observe.RequestObserverFactory
import io.knapweedferry.entry.pipeline.Authenticator
import io.knapweedferry.entry.pipeline.BudgetedRetryLimiter
import io.knapweedferry.entry.pipeline.CancelNotifier
import io.knapweedferry.entry.pipeline.CandidateSelector
import io.knapweedferry.entry.pipeline.ChatClassifier
import io.knapweedferry.entry.pipeline.ClaimOutcomeResolver
import io.knapweedferry.entry.pipeline.DecodeStage
import io.knapweedferry.entry.pipeline.IdempotencyKeyRule
import io.knapweedferry.entry.pipeline.InFlightLimit
import io.knapweedferry.entry.pipeline.InvokeStage
import io.knapweedferry.entry.pipeline.ModelPipeline
import io.knapweedferry.entry.pipeline.PlacementStage
import io.knapweedferry.entry.pipeline.PrefillStage
import io.knapweedferry.entry.pipeline.RetryPolicy
import io.knapweedferry.entry.pipeline.ServiceClassifier
import io.knapweedferry.entry.pipeline.ServicePipeline
import io.knapweedferry.policy.placement.PlacementPolicy
import io.knapweedferry.policy.placement.RandomPlacement
import io.knapweedferry.policy.placement.ScoredPlacement
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.RouterMetrics
import java.time.InstantSource
import kotlin.random.Random
import kotlin.time.TimeSource

/** Creates and connects the components of the request path of an entry. */
internal class EntryComponents(
    private val settings: EntrySettings,
    private val connections: EntryConnections,
    private val observerFactory: RequestObserverFactory,
    private val metrics: RouterMetrics,
    private val operatorRoutes: RouteGroup,
    private val events: EventLog,
) {
    private val sessions = connections.sessions
    private val follower = connections.follower
    private val fleet = connections.fleet
    private val claims = connections.claims
    private val timeSource = TimeSource.Monotonic
    private val clock = InstantSource.system()
    private val loads = EndpointLoadTracker(timeSource)
    private val authenticator = Authenticator()
    private val retries = RetryPolicy(settings.retry.maxAttempts, retryLimiter(), Random.Default)
    private val candidates = CandidateSelector(placementPolicy(), loads, settings.process.availabilityZone, PrefixCacheHints(timeSource))
    val inFlightLimit = InFlightLimit(settings.http.maxInFlight)

    fun server(): EntryServer =
        EntryServer(
            settings = settings.http,
            routes =
                listOf(
                    CallerRoutes(chatRoute(), serviceRoute(), ModelsRoute(follower, authenticator)),
                    operatorRoutes,
                    UnexpectedErrorHandler(events),
                ),
            isReady = { follower.current() != null && fleet.isLoaded && !inFlightLimit.isClosed },
            isStopping = { inFlightLimit.isClosed },
            scrapeMetrics = metrics::scrape,
        )

    private fun chatRoute() =
        ChatRoute(
            follower,
            authenticator,
            ChatClassifier(timeSource),
            inFlightLimit,
            modelPipeline(),
            observerFactory,
            clock,
        )

    private fun serviceRoute() =
        ServiceRoute(
            follower,
            authenticator,
            ServiceClassifier(timeSource, IdempotencyKeyRule(clock)),
            inFlightLimit,
            servicePipeline(),
            observerFactory,
        )

    private fun modelPipeline() =
        ModelPipeline(
            placementStage = PlacementStage(fleet, loads, candidates, sessions),
            prefillStage = PrefillStage(fleet, loads, candidates, sessions),
            decodeStage = DecodeStage(loads, sessions),
            retries = retries,
            cancelNotifier = CancelNotifier(connections.scope, sessions),
            keepAliveIntervalMs = KEEP_ALIVE_INTERVAL_MS,
            reserveFirst = settings.placement.reserveFirst,
        )

    private fun servicePipeline() =
        ServicePipeline(
            fleet = fleet,
            candidates = candidates,
            incarnations = IncarnationCache(sessions),
            claims = claims,
            invokeStage = InvokeStage(loads, sessions),
            outcomeResolver = ClaimOutcomeResolver(sessions, claims),
            retries = retries,
        )

    private fun placementPolicy(): PlacementPolicy =
        when (settings.placement.policy) {
            PlacementPolicyName.SCORED -> ScoredPlacement(Random.Default)
            PlacementPolicyName.RANDOM -> RandomPlacement(Random.Default)
        }

    private fun retryLimiter() = BudgetedRetryLimiter(settings.retry.budgetPercent)

    private companion object {
        /** A broken connection is detected by the second write; both fit into the 1 s allowed to cancel a disconnected caller's work. */
        const val KEEP_ALIVE_INTERVAL_MS = 400L
    }
}
