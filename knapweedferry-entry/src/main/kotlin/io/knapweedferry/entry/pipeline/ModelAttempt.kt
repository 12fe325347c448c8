package io.knapweedferry.entry.pipeline

import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.observe.RequestObserver

/** State of one attempt at a model request. */
internal class ModelAttempt(
    val job: ModelJob,
    val number: Int,
    val assembler: AnswerAssembler,
    val sink: AnswerSink,
    val observer: RequestObserver,
) {
    /** Endpoints that may hold a lease, a queue entry or KV cache for this attempt and must be notified of a cancellation. */
    val involvedMembers: MutableSet<FleetMember> = LinkedHashSet()

    /** True once an engine may have received the request, which must then no longer be reported as "not run". */
    var maybeSubmitted: Boolean = false
}
