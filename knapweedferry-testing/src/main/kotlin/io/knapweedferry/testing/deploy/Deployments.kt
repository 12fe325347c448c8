package io.knapweedferry.testing.deploy

import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OperationPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.ServicePolicy
import io.knapweedferry.config.state.WorkPolicy
import java.security.MessageDigest

/** Predefined deployments: two of production topology, and a small one for the demo and quick tests. */
public object Deployments {
    /** API key of the first organisation of a test deployment. */
    public const val API_KEY: String = "caller-key"

    /** API key of the second organisation of a test deployment. */
    public const val OTHER_API_KEY: String = "other-caller-key"

    /** Token of the operator `alice` of a test deployment. */
    public const val OPERATOR_TOKEN: String = "operator-token"

    /** Token of the operator `bob` of a test deployment. */
    public const val OTHER_OPERATOR_TOKEN: String = "other-operator-token"

    private const val RELAXED_FIRST_TOKEN_MS = 10_000L
    private const val CONTEXT_TOKENS = 131_072

    /** One prefill engine, two decode engines and one service. */
    public fun small(): DeploymentPlan {
        val zones = listOf("newburyport", "haverhill")
        return DeploymentPlan(
            availabilityZones = zones,
            entryCount = 2,
            engines =
                listOf(
                    PlannedEngine("prefill-1", zones[0], EndpointRole.PREFILL, "harbor-review"),
                    PlannedEngine("decode-1", zones[0], EndpointRole.DECODE, "harbor-review"),
                    PlannedEngine("decode-2", zones[1], EndpointRole.DECODE, "harbor-review"),
                ),
            services = listOf(PlannedService("dock-1", zones[0], "dock-clerk")),
            policies = merrimackPolicies().let { it.copy(ranks = it.ranks.mapValues { (_, rank) -> relaxed(rank) }) },
        )
    }

    /** Relaxes the first-token target, which freshly started daemons on a busy machine would miss; measurements use the original. */
    private fun relaxed(rank: RankPolicy) = rank.copy(firstTokenTargetMs = maxOf(rank.firstTokenTargetMs, RELAXED_FIRST_TOKEN_MS))

    /** Three availability zones, 13 engines and 3 services. */
    public fun merrimack(): DeploymentPlan {
        val zones = listOf("newburyport", "haverhill", "lowell")
        val prefill = List(MERRIMACK_PREFILL_ENGINES) { engine("prefill-${it + 1}", zones, it, EndpointRole.PREFILL, "harbor-review") }
        val decode = List(MERRIMACK_DECODE_ENGINES) { engine("decode-${it + 1}", zones, it, EndpointRole.DECODE, "harbor-review") }
        val services = zones.mapIndexed { index, zone -> PlannedService("dock-${index + 1}", zone, "dock-clerk") }
        return DeploymentPlan(zones, zones.size, prefill + decode, services, merrimackPolicies())
    }

    /** Four availability zones, 6 engines and 4 services. */
    public fun ito(): DeploymentPlan {
        val zones = listOf("sapporo-a", "sapporo-b", "asahikawa", "hakodate")
        val prefill = List(2) { engine("prefill-${it + 1}", zones, it, EndpointRole.PREFILL, "quote-writer") }
        val decode = List(zones.size) { engine("decode-${it + 1}", zones, it, EndpointRole.DECODE, "quote-writer") }
        val services = zones.mapIndexed { index, zone -> PlannedService("orders-${index + 1}", zone, "loom-orders") }
        return DeploymentPlan(zones, zones.size - 1, prefill + decode, services, itoPolicies())
    }

    /** Hash by which settings and configuration refer to a key or token, as lower-case hex. */
    public fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }

    private fun engine(
        name: String,
        zones: List<String>,
        index: Int,
        role: EndpointRole,
        model: String,
    ) = PlannedEngine(name, zones[index % zones.size], role, model, checksFencing = index % 2 == 0)

    private fun merrimackPolicies() =
        ConfigState(
            models = mapOf(ModelName("harbor-review") to ModelPolicy("1", CONTEXT_TOKENS)),
            services = mapOf(ServiceName("dock-clerk") to service("tag-stamp", "locker-lookup")),
            work =
                mapOf(
                    WorkKind("fleet-inspection") to WorkPolicy(ModelName("harbor-review"), Rank.URGENT),
                    WorkKind("liner-survey") to WorkPolicy(ModelName("harbor-review"), Rank.STANDARD),
                    WorkKind("loaner-note") to WorkPolicy(ModelName("harbor-review"), Rank.BACKGROUND),
                ),
            ranks = ranks(),
            organisations = organisations(),
        )

    private fun itoPolicies() =
        ConfigState(
            models = mapOf(ModelName("quote-writer") to ModelPolicy("1", CONTEXT_TOKENS)),
            services = mapOf(ServiceName("loom-orders") to service("book-loom", "order-lookup", "charge-deposit")),
            work =
                mapOf(
                    WorkKind("wholesale-quote") to WorkPolicy(ModelName("quote-writer"), Rank.URGENT),
                    WorkKind("boutique-quote") to WorkPolicy(ModelName("quote-writer"), Rank.STANDARD),
                    WorkKind("catalogue-draft") to WorkPolicy(ModelName("quote-writer"), Rank.BACKGROUND),
                ),
            ranks = ranks(),
            organisations = organisations(),
        )

    private fun service(
        nonRepeatable: String,
        repeatable: String,
        otherNonRepeatable: String? = null,
    ) = ServicePolicy(
        listOfNotNull(nonRepeatable to false, repeatable to true, otherNonRepeatable?.let { it to false })
            .associate { (name, mayRepeat) -> OperationName(name) to OperationPolicy(mayRepeat) },
        Rank.URGENT,
    )

    private fun ranks() =
        mapOf(
            Rank.URGENT to RankPolicy(firstTokenTargetMs = 550, interTokenTargetMs = 25, deadlineMs = 30_000, floorPercent = 0),
            Rank.STANDARD to RankPolicy(firstTokenTargetMs = 2_000, interTokenTargetMs = 40, deadlineMs = 60_000, floorPercent = 15),
            Rank.BACKGROUND to RankPolicy(firstTokenTargetMs = 10_000, interTokenTargetMs = 100, deadlineMs = 120_000, floorPercent = 5),
        )

    private fun organisations() =
        mapOf(
            OrganisationId("harbor-office") to OrganisationPolicy(listOf(sha256(API_KEY)), Rank.URGENT),
            OrganisationId("school-sailing") to OrganisationPolicy(listOf(sha256(OTHER_API_KEY)), Rank.URGENT),
        )

    private const val MERRIMACK_PREFILL_ENGINES = 5
    private const val MERRIMACK_DECODE_ENGINES = 8
}
