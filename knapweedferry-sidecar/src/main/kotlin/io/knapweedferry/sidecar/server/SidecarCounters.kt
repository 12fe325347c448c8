package io.knapweedferry.sidecar.server

import io.knapweedferry.api.FailureReason
import io.knapweedferry.api.RefusalReason

/** Where a sidecar reports what happens. Called from several threads. */
public interface SidecarCounters {
    /** A request was refused. */
    public fun refused(reason: RefusalReason)

    /** An attempt ended without an answer. */
    public fun attemptFailed(reason: FailureReason)

    /** A lease was not used in time. */
    public fun leaseLapsed()

    /** An engine did not confirm that it cancelled a request; the call is repeated. */
    public fun engineCancelFailed()

    /** A request that an engine held for a former incarnation was cancelled. */
    public fun leftoverCancelled()

    public companion object {
        /** Counts nothing. */
        public val NONE: SidecarCounters =
            object : SidecarCounters {
                override fun refused(reason: RefusalReason) = Unit

                override fun attemptFailed(reason: FailureReason) = Unit

                override fun leaseLapsed() = Unit

                override fun engineCancelFailed() = Unit

                override fun leftoverCancelled() = Unit
            }
    }
}
