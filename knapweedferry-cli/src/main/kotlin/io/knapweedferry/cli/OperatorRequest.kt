package io.knapweedferry.cli

/** One request to the operator interface of an entry. */
internal class OperatorRequest(
    /** Path below `/v1/operator/`. */
    val path: String,
    /** JSON body; null for a GET. */
    val body: String? = null,
    /** Turns the answer into text for people. */
    val render: (String) -> String,
)
