package io.knapweedferry.policy.claim

/** State of a key according to a [ClaimIndex]. */
public sealed interface ClaimKeyState {
    /** No claim is valid, so a new one may be appended. */
    public data object Unclaimed : ClaimKeyState

    /** [claim], appended at [offset], is valid. No other claim can win until it is voided. */
    public data class Claimed(
        val claim: ClaimRecord.Claim,
        val offset: Long,
        /** Time of the append, on the clock of the log. */
        val atMs: Long,
    ) : ClaimKeyState

    /** Records appended since the key was created may be missing, so the key must be refused. */
    public data object NotCovered : ClaimKeyState
}
