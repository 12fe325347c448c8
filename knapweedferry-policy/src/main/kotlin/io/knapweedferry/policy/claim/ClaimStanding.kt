package io.knapweedferry.policy.claim

/** What became of one claim. */
public enum class ClaimStanding {
    /**
     * Not in the records that were applied: the append did not take effect, was not read yet, or was ignored because
     * [ClaimIndex.acceptsKeyTime] does not hold.
     */
    NOT_SEEN,

    /** Gives the right to dispatch. */
    WON,

    /** Another claim stood when it was appended; it never wins. */
    LOST,

    /** Voided; it never wins. */
    VOIDED,

    /** Records since the key was made may be missing, so nothing can be said. */
    NOT_COVERED,
}
