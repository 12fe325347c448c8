package io.knapweedferry.cli

import io.knapweedferry.config.report.OperatorProblem

/** Result of a request that was sent to the entries in order. */
internal sealed interface OperatorResponse {
    /** An entry returned a 2xx status. */
    class Success(
        val body: String,
    ) : OperatorResponse

    /** An entry returned a problem with a status below 500; other entries are not tried. */
    class Refused(
        val problem: OperatorProblem,
    ) : OperatorResponse

    /** No entry returned a usable response; [failures] has one message per entry. */
    class NoResponse(
        val failures: List<String>,
    ) : OperatorResponse
}
