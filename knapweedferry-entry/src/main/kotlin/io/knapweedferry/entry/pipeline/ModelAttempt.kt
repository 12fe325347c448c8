package io.knapweedferry.entry.pipeline

import io.knapweedferry.entry.fleet.FleetMember
import io.knapweedferry.entry.observe.RequestObserver

/** State of one attempt of a model request. */
internal class ModelAttempt(
    val job: ModelJob,
    val number: Int,
    val assembler: AnswerAssembler,
    val sink: AnswerSink,
    val observer: RequestObserver,
) {
    /** Endpoints that may hold something for this attempt. */
    val touched: MutableSet<FleetMember> = LinkedHashSet()

    /** True once an engine may have seen the request; from then on it must not be reported as "not run". */
    var submitted: Boolean = false
}
