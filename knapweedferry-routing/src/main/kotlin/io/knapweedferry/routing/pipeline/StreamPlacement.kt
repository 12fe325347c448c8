package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.call.KvSourceRef
import io.knapweedferry.routing.fleet.CompletedRun
import io.knapweedferry.routing.model.RoutedEndpoint

/** Selects the endpoints of the attempts of one streamed request. An endpoint that was selected is not selected again. */
internal interface StreamPlacement {
    /** Response to the caller if no endpoint was selected. */
    val refusal: LocalResponse

    /** Selects an endpoint and reserves what the run needs there; null if there is none in time. */
    suspend fun admit(isResumed: Boolean): Admission?

    /** Like [admit], for a run that makes no progress where it is; waits for [waitMs] at most. */
    suspend fun admitReplacement(waitMs: Long): Admission?

    /** True if this process stops and might end before a run that starts now. */
    val outlastsProcess: Boolean

    /** False if [endpoint] has left or begun to drain since it was selected. */
    fun isServing(endpoint: RoutedEndpoint): Boolean

    /** True if another endpoint could take over the run. */
    fun hasAlternative(): Boolean

    /** Gives back an admission that is not used; its endpoint may be selected again. */
    fun release(admission: Admission)

    /** Gives back the reservation of an admission that is not used; its endpoint is not selected again. */
    fun discard(admission: Admission)

    /** Has the prompt processed elsewhere before the run at [runEndpoint]; null if that endpoint does it itself. */
    suspend fun prefill(runEndpoint: RoutedEndpoint): KvSourceRef?

    /** Options of the run at [endpoint]. */
    fun runOptions(
        endpoint: RoutedEndpoint,
        isPrefilled: Boolean,
    ): AttemptOptions

    /** Called when a run at [endpoint] has ended in any way. */
    fun onRunEnded(endpoint: RoutedEndpoint)

    /** Called when [endpoint] has completed the run. */
    fun recordCompletedRun(
        endpoint: RoutedEndpoint,
        run: CompletedRun,
    )
}
