package io.knapweedferry.cli

import io.knapweedferry.config.report.OperatorProblem

/** Result of a request to the entries. */
internal sealed interface ClientReply {
    /** An entry did what was asked. */
    class Answered(
        val body: String,
    ) : ClientReply

    /** An entry refused. */
    class Refused(
        val problem: OperatorProblem,
    ) : ClientReply

    /** No entry gave an answer that settles the request. */
    class Unreachable(
        val failures: List<String>,
    ) : ClientReply
}
