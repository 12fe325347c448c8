package io.knapweedferry.cli

/** HTTP request to the operator API of an entry. */
internal class OperatorRequest(
    /** Path below `/v1/operator/`. */
    val path: String,
    /** JSON body of a POST; null sends a GET. */
    val body: String? = null,
    /** Formats the response body as text for the terminal. */
    val render: (String) -> String,
)
