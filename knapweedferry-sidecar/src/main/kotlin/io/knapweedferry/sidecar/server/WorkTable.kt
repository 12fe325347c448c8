package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import java.util.concurrent.ConcurrentHashMap

/** Work of one kind at one endpoint, by attempt. */
internal class WorkTable(
    private val context: SidecarContext,
) {
    private val works = ConcurrentHashMap<WorkKey, Work>()

    val all: Collection<Work> get() = works.values

    /** Adds work unless its attempt is known; returns the refusal then. */
    fun add(work: Work): Refusal? {
        val known = works.putIfAbsent(work.key, work) ?: return null
        if (known is CancelledWork) return Refusal(RefusalReason.LEASE_EXPIRED, "the attempt was cancelled")
        return Refusal(RefusalReason.DUPLICATE_IN_PROGRESS, "attempt ${work.key.attempt} is known here")
    }

    fun remove(work: Work) {
        works.remove(work.key, work)
    }

    /** Removes work that is over after the grace period, so that duplicates are recognised until then. */
    fun removeLater(work: Work) {
        context.scope.launch {
            delay(context.settings.graceMs)
            remove(work)
        }
    }

    /** Cancels an attempt and keeps later messages for it out; null if it was not known. */
    suspend fun cancel(key: WorkKey): Boolean? {
        val mark = CancelledWork(key)
        val known = works.put(key, mark)
        removeLater(mark)
        val beforeSubmission = known?.cancel()
        mark.settle(beforeSubmission ?: false)
        return beforeSubmission
    }
}
