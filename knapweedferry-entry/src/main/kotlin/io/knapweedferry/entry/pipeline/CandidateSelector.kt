package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.entry.fleet.EndpointLoadTracker
import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.fleet.PrefixCacheHints
import io.knapweedferry.policy.placement.PlacementCandidate
import io.knapweedferry.policy.placement.PlacementPolicy
import io.knapweedferry.policy.placement.PlacementRequest

/** Orders endpoints for a job by the placement policy. Endpoints to avoid are used only if there are no others. */
internal class CandidateSelector(
    private val policy: PlacementPolicy,
    private val loads: EndpointLoadTracker,
    private val availabilityZone: AvailabilityZone,
    private val prefixHints: PrefixCacheHints,
) {
    fun forModel(
        members: List<FleetMember>,
        job: ModelJob,
    ): List<FleetMember> {
        val request = PlacementRequest(job.rank, job.promptTokens, kvBlocksOf(job), availabilityZone)
        val hashes = prefixHints.hashesOf(job.model, job.prompt)
        return order(members, request) { prefixHints.cachedTokens(it.endpoint, hashes) }
    }

    /** Records that [member] has computed the prompt of [job], whose prefixes are therefore probably in its cache. */
    fun recordPrefill(
        member: FleetMember,
        job: ModelJob,
    ) {
        prefixHints.recordPrefill(member.endpoint, prefixHints.hashesOf(job.model, job.prompt))
    }

    fun forService(
        members: List<FleetMember>,
        job: ServiceJob,
    ): List<FleetMember> = order(members, PlacementRequest(job.rank, 0, 0, availabilityZone)) { 0 }

    private fun order(
        members: List<FleetMember>,
        request: PlacementRequest,
        cachedTokensHint: (FleetMember) -> Int,
    ): List<FleetMember> {
        val usable = members.filterNot { loads.isAvoided(it.endpoint) }.ifEmpty { members }
        val byEndpoint = usable.associateBy { it.endpoint }
        return policy.order(usable.map { candidate(it, cachedTokensHint(it)) }, request).mapNotNull { byEndpoint[it.endpoint] }
    }

    private fun candidate(
        member: FleetMember,
        cachedTokensHint: Int,
    ) = PlacementCandidate(
        endpoint = member.endpoint,
        address = member.address,
        availabilityZone = member.availabilityZone,
        load = loads.load(member.endpoint),
        loadAgeMs = loads.loadAgeMs(member.endpoint),
        outstanding = loads.outstanding(member.endpoint),
        cachedTokensHint = cachedTokensHint,
    )

    private fun kvBlocksOf(job: ModelJob): Int = (job.promptTokens + job.maxOutputTokens + KV_BLOCK_TOKENS - 1) / KV_BLOCK_TOKENS

    private companion object {
        /** Tokens per KV cache block, assumed for all endpoints. */
        const val KV_BLOCK_TOKENS = 4_096
    }
}
