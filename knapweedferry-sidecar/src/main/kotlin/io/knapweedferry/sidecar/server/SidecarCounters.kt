package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.RefusalReason

/** Counts events of a sidecar. Implementations must be thread-safe. */
public interface SidecarCounters {
    /** A request was refused. */
    public fun refused(reason: RefusalReason)

    /** An attempt ended without an answer. */
    public fun attemptFailed(reason: FailureReason)

    /** A lease expired before a stream was started on it. */
    public fun leaseExpired()

    /** An engine did not confirm the cancellation of a request; the call is retried. */
    public fun engineCancelFailed()

    /** An engine request left by a former incarnation was cancelled. */
    public fun orphanCancelled()

    public companion object {
        /** Counts nothing. */
        public val NONE: SidecarCounters =
            object : SidecarCounters {
                override fun refused(reason: RefusalReason) = Unit

                override fun attemptFailed(reason: FailureReason) = Unit

                override fun leaseExpired() = Unit

                override fun engineCancelFailed() = Unit

                override fun orphanCancelled() = Unit
            }
    }
}
