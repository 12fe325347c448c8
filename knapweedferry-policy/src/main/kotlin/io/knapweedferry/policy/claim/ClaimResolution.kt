package io.knapweedferry.policy.claim

/** Resolution of one claim. */
public enum class ClaimResolution {
    /**
     * Not among the applied records: the append did not take effect, was not read yet, or was ignored because of
     * [ClaimIndex.acceptsKeyTime].
     */
    NOT_SEEN,

    /** The claimer may dispatch. */
    WON,

    /** Another claim was valid when this one was appended. It can never win. */
    LOST,

    /** Cancelled by a [ClaimRecord.Void]. It can never win. */
    VOIDED,

    /** Records appended since the key was created may be missing, so the resolution is unknown. */
    NOT_COVERED,
}
