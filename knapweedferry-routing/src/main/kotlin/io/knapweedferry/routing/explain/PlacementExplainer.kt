package io.knapweedferry.routing.explain

import io.knapweedferry.api.placement.PlacementReport
import io.knapweedferry.api.placement.PlacementRequest
import io.knapweedferry.policy.quota.QuotaDecision
import io.knapweedferry.routing.fleet.EndpointSelector
import io.knapweedferry.routing.fleet.ServiceAvailability
import io.knapweedferry.routing.model.ApiKey
import io.knapweedferry.routing.model.Organisation
import io.knapweedferry.routing.model.Route
import io.knapweedferry.routing.model.RouteTable
import io.knapweedferry.routing.model.RoutingView
import io.knapweedferry.routing.model.ServiceProfile
import io.knapweedferry.routing.pipeline.AdmissionController
import io.knapweedferry.routing.pipeline.ForwardingJob
import io.knapweedferry.routing.pipeline.LocalResponse
import io.knapweedferry.routing.pipeline.OrganisationChecks

/**
 * Explains where a request would go now, by the checks that decide about real requests, in their order. Debits, reserves, sends
 * and counts nothing. Confined to the event loop.
 */
internal class PlacementExplainer(
    private val checks: OrganisationChecks,
    private val services: ServiceAvailability,
    private val selector: EndpointSelector,
    private val admissions: AdmissionController,
    private val jobs: ExplainedJobs,
) {
    private val ranking = EndpointRanking(selector, services)

    fun explain(
        view: RoutingView,
        request: PlacementRequest,
    ): PlacementReport = Evaluation(view, request).report()

    private inner class Evaluation(
        private val view: RoutingView,
        private val request: PlacementRequest,
    ) {
        private val steps = StepRecorder()
        private lateinit var table: RouteTable
        private lateinit var route: Route
        private var organisation: Organisation? = null

        /** Null if the request was refused before its service was known. */
        private var job: ForwardingJob? = null
        private val queue by lazy {
            job?.let { job -> job.service.engine?.let { EngineQueueCheck(job, it, admissions, services) } }
        }

        fun report(): PlacementReport {
            steps.evaluate("configuration", ::configuration)
            steps.evaluate("route", ::route)
            steps.evaluate("organisation", ::organisation)
            steps.evaluate("service", ::service)
            steps.evaluate("outage") { outage(checkNotNull(job)) }
            steps.evaluate("quota") { quota(checkNotNull(job)) }
            steps.evaluate("queue") { queue(checkNotNull(job)) }
            val endpoints = job?.let { ranking.rank(view, it, queue) }.orEmpty()
            val refusal = steps.refusal
            return PlacementReport(
                request = request.withCounts(),
                decision = steps.decision,
                status = refusal?.status,
                reason = refusal?.reason,
                remedy = refusal?.remedy,
                service = job?.service?.name,
                choice = endpoints.firstOrNull()?.takeIf { it.excluded == null }?.endpoint,
                steps = steps.steps,
                ties = TIES,
                endpoints = endpoints,
            )
        }

        /** The request with the token counts that were used. */
        private fun PlacementRequest.withCounts(): PlacementRequest {
            val traits = job?.call?.traits ?: return this
            return copy(promptTokens = traits.promptTokens, outputTokens = traits.maxOutputTokens)
        }

        private fun configuration(): StepOutcome {
            val age = view.confirmedAt?.let { "confirmed ${it.elapsedMs} ms ago" } ?: "not confirmed by the store yet"
            val fleet = if (view.hasInstanceList) "instance list ${view.fleetVersion}" else "no instance list yet"
            table = view.table ?: return StepOutcome.Refused(LocalResponse.NOT_READY, "no configuration yet; $fleet")
            return StepOutcome.Passed("version ${table.version}, $age; $fleet")
        }

        private fun route(): StepOutcome {
            route = table.find(request.host, request.path)
                ?: return StepOutcome.Refused(LocalResponse.NO_ROUTE, "no route for this host and path")
            val access = if (route.isPublic) ", public" else ""
            return StepOutcome.Passed("${route.name} (${route.kind.name.lowercase()}, priority ${route.priority}$access)")
        }

        private fun organisation(): StepOutcome {
            if (table.organisations == null) return StepOutcome.Passed("the configuration has no organisations; no key is needed")
            val keys = if (checks.access.acceptsKeys(view)) "keys are accepted now" else "keys are not accepted now"
            return checks.access.preview(view, route, keyOf(request)).fold(
                { StepOutcome.Refused(it, "${request.organisation?.value ?: "no organisation given"}; $keys") },
                {
                    organisation = it
                    StepOutcome.Passed("${it?.id?.value ?: "none, the route is public"}; $keys")
                },
            )
        }

        /** A key that stands for the organisation of [request]; one that nobody holds if the organisation is unknown or has none. */
        private fun keyOf(request: PlacementRequest): ApiKey? {
            val id = request.organisation ?: return null
            val holder = table.organisations.orEmpty().firstOrNull { it.id == id }
            return holder?.apiKeys?.firstOrNull { table.organisation(it) == holder } ?: ApiKey.UNREADABLE
        }

        private fun service(): StepOutcome {
            val target = route.targets.maxBy { it.weight }
            val service =
                table.service(target.service)
                    ?: return StepOutcome.Refused(LocalResponse.NO_ENDPOINT, "${target.service.value} is not in the configuration")
            val created = jobs.create(view, request, route, service, organisation)
            job = created
            return when {
                !created.canComplete -> StepOutcome.Refused(LocalResponse.ENTRY_STOPPING, "this entry is stopping")
                !created.fitsEngine -> StepOutcome.Refused(LocalResponse.TOO_MANY_TOKENS, describe(service))
                else -> StepOutcome.Passed(describe(service))
            }
        }

        private fun describe(service: ServiceProfile): String {
            val kind = service.engine?.let { "model service, ${it.kvCapacityTokens} KV tokens per engine" } ?: "plain service"
            val weights = route.targets.joinToString { "${it.service.value} ${it.weight}" }
            val choice = if (route.targets.size > 1) "; chosen at random by weight ($weights), the heaviest is explained" else ""
            return "${service.name.value} ($kind)$choice"
        }

        private fun outage(job: ForwardingJob): StepOutcome {
            val outage = services.outage(job.service.name) ?: return StepOutcome.Passed("none")
            val pauseMs = outage.returnsAfterMs
            if (pauseMs == null) return StepOutcome.Refused(LocalResponse.NO_ENDPOINT, "all endpoints are leaving")
            return StepOutcome.Refused(
                LocalResponse.ENDPOINTS_PAUSED,
                "all endpoints are paused or leaving; the first returns in $pauseMs ms",
            )
        }

        private fun quota(job: ForwardingJob): StepOutcome {
            val holder = organisation ?: return StepOutcome.Passed("no organisation, no quota")
            val preview = checks.quotas.preview(holder, job.call.traits) ?: return StepOutcome.Passed("no quota is applied")
            val detail = "level ${preview.level?.toLong() ?: "unlimited"}, cost ${preview.cost.toLong()}"
            val decision = preview.decision
            if (decision !is QuotaDecision.Refused) return StepOutcome.Passed(detail)
            return StepOutcome.Refused(LocalResponse.QUOTA_EXHAUSTED, "$detail; covered in ${decision.retryAfterMs} ms at the earliest")
        }

        private fun queue(job: ForwardingJob): StepOutcome {
            queue?.let { return it.outcome() }
            val count = services.accepting(job.service.name).size
            if (count == 0) return StepOutcome.Refused(LocalResponse.NO_ENDPOINT, "the service has no endpoint")
            return StepOutcome.Passed("requests to plain services don't wait at the entry; $count endpoints accept requests")
        }
    }

    private companion object {
        const val TIES =
            "random jitter of up to ${(EndpointSelector.JITTER_SHARE * 100).toInt()}% and ${EndpointSelector.JITTER_MS} ms is added to " +
                "each cost of a real request; can_win marks the endpoints that it can make the choice"
    }
}
