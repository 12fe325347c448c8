package io.knapweedferry.entry.claim

import com.fasterxml.uuid.Generators
import io.knapweedferry.api.ClaimId
import io.knapweedferry.api.ClaimRef
import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.StreamName
import io.knapweedferry.api.UnknownReason
import io.knapweedferry.config.settings.ClaimsSettings
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.policy.claim.ClaimKey
import io.knapweedferry.policy.claim.ClaimKeyState
import io.knapweedferry.policy.claim.ClaimPartitions
import io.knapweedferry.policy.claim.ClaimRecord
import io.knapweedferry.policy.claim.ClaimResolution
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.launch
import kotlinx.coroutines.withTimeoutOrNull
import kotlin.time.Duration.Companion.milliseconds

/**
 * Claims idempotency keys by appending to a log: the first claim of a key that is not void wins. A call is dispatched only
 * after the stream was read up to its own claim record.
 */
internal class LogClaimService(
    settings: ClaimsSettings,
    private val log: AppendLog,
    private val process: ProcessId,
    private val scope: CoroutineScope,
) : ClaimService {
    private val partitioner = ClaimPartitions(settings.partitions)
    private val partitions = List(settings.partitions) { ClaimPartition(StreamName("claims-$it"), log) }
    private val appenders = partitions.map { BatchAppender(it.stream, log, settings.batchMs) }
    private val idGenerator = Generators.timeBasedEpochGenerator()

    fun start() {
        partitions.forEach { scope.launch { it.run() } }
        appenders.forEach { scope.launch { it.run() } }
    }

    override suspend fun claim(request: ClaimRequest): ClaimDecision {
        val key = ClaimKey.parse(request.key).fold({ return ClaimDecision.NotClaimed(it) }, { it })
        val partitionNumber = partitioner.of(key)
        return withTimeoutOrNull(request.timeoutMs.milliseconds) { claimIn(partitionNumber, key, request) }
            ?: notClaimed(RefusalReason.LOG_UNAVAILABLE, "the claim was not confirmed by the log in time")
    }

    private suspend fun claimIn(
        partitionNumber: Int,
        key: ClaimKey,
        request: ClaimRequest,
    ): ClaimDecision {
        val partition = partitions[partitionNumber]
        partition.awaitCaughtUp()
        when (val earlier = partition.stateOf(key)) {
            is ClaimKeyState.Claimed -> return heldByEarlierClaim(earlier, partition, request.scope)
            ClaimKeyState.NotCovered -> return keyExpired()
            ClaimKeyState.Unclaimed -> Unit
        }
        val id = ClaimId(idGenerator.generate().toString())
        val record =
            ClaimRecord.Claim(
                id,
                key.key,
                request.endpoint,
                request.incarnation,
                request.attempt,
                request.requestId,
                request.scope,
            )
        val error = appenders[partitionNumber].append(ClaimPartition.encode(record)).leftOrNull()
        if (error != null && ClaimPartition.certainlyNotAppended(error)) return notClaimed(RefusalReason.LOG_UNAVAILABLE, error.message)
        // After a lost response the append may have taken effect; the claim then appears in the stream.
        return decide(partition, key, record)
    }

    private suspend fun decide(
        partition: ClaimPartition,
        key: ClaimKey,
        record: ClaimRecord.Claim,
    ): ClaimDecision =
        when (partition.awaitResolution(key, record.claimId)) {
            ClaimResolution.WON -> won(partition, key, record)
            ClaimResolution.LOST -> lost(partition, key, record.scope)
            ClaimResolution.NOT_COVERED -> keyExpired()
            ClaimResolution.VOIDED, ClaimResolution.NOT_SEEN ->
                notClaimed(RefusalReason.STALE_INCARNATION, "the claim was voided before it was used")
        }

    private fun won(
        partition: ClaimPartition,
        key: ClaimKey,
        record: ClaimRecord.Claim,
    ): ClaimDecision {
        val current = partition.stateOf(key) as? ClaimKeyState.Claimed
        if (current?.claim?.claimId != record.claimId) return lost(partition, key, record.scope)
        return ClaimDecision.Won(ClaimRef(record.claimId, key.key, current.offset, record.incarnation, partition.stream))
    }

    private fun lost(
        partition: ClaimPartition,
        key: ClaimKey,
        scope: String,
    ): ClaimDecision {
        val winner = partition.stateOf(key) as? ClaimKeyState.Claimed
        return winner?.let { heldByEarlierClaim(it, partition, scope) }
            ?: notClaimed(RefusalReason.STALE_INCARNATION, "the winning claim was voided")
    }

    override suspend fun abandon(claim: ClaimRef): Boolean {
        val key = ClaimKey.parse(claim.key).getOrNull() ?: return false
        val partitionNumber = partitioner.of(key)
        val voidRecord = ClaimRecord.Void(claim.claimId, claim.key, process)
        val error = appenders[partitionNumber].append(ClaimPartition.encode(voidRecord)).leftOrNull()
        if (error != null && ClaimPartition.certainlyNotAppended(error)) return false
        return awaitVoid(claim, VOID_TIMEOUT_MS)
    }

    override suspend fun awaitVoid(
        claim: ClaimRef,
        timeoutMs: Long,
    ): Boolean {
        val key = ClaimKey.parse(claim.key).getOrNull() ?: return false
        val partition = partitions[partitioner.of(key)]
        val resolution =
            withTimeoutOrNull(timeoutMs.milliseconds) {
                partition.awaitResolution(key, claim.claimId) { it == ClaimResolution.VOIDED || it == ClaimResolution.NOT_COVERED }
            }
        return resolution == ClaimResolution.VOIDED
    }

    private fun heldByEarlierClaim(
        current: ClaimKeyState.Claimed,
        partition: ClaimPartition,
        scope: String,
    ): ClaimDecision {
        val claim = current.claim
        // The stored answer belongs to the scope that first used the key and must not be disclosed to any other.
        if (claim.scope != scope) return notClaimed(RefusalReason.KEY_INVALID, "the key was already used for another operation")
        val ref = ClaimRef(claim.claimId, claim.key, current.offset, claim.incarnation, partition.stream)
        return ClaimDecision.HeldBy(ref, claim.endpoint)
    }

    private fun keyExpired() =
        ClaimDecision.Undecidable(UnknownReason.KEY_EXPIRED, "the log may no longer contain all claims made under this key")

    private fun notClaimed(
        reason: RefusalReason,
        detail: String,
    ) = ClaimDecision.NotClaimed(Refusal(reason, detail, retryAfterMs = RETRY_AFTER_MS))

    private companion object {
        const val VOID_TIMEOUT_MS = 3_000L
        const val RETRY_AFTER_MS = 2_000L
    }
}
