package io.knapweedferry.policy.claim

/** What a [ClaimIndex] knows of a key. */
public sealed interface ClaimAnswer {
    /** No claim stands, so a new one may be appended. */
    public data object Unclaimed : ClaimAnswer

    /** [claim], appended at [offset], stands and no other can win before it is voided. */
    public data class Claimed(
        val claim: ClaimRecord.Claim,
        val offset: Long,
        /** Time of the append on the clock of the log. */
        val atMs: Long,
    ) : ClaimAnswer

    /** Records since the key was made may be missing, so the key must be refused. */
    public data object NotCovered : ClaimAnswer
}
