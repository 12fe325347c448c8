package io.knapweedferry.cli

/** APIs of an entry that commands use. */
internal enum class EntryApi(
    /** Path prefix of the requests. */
    val path: String,
    /** Whether requests carry the operator's token. */
    val needsToken: Boolean,
    /** Printed if no entry completed the request. */
    val unreachableAdvice: String,
) {
    OPERATOR(
        "v1/operator",
        true,
        "no entry completed the request; check the entries and log, and the history before repeating a confirmation",
    ),

    /** Operations address of the entries on the users' platform. */
    OPERATIONS(
        "v1",
        false,
        "no entry completed the request; check that --entry is the address at which the entry serves /metrics",
    ),
}
