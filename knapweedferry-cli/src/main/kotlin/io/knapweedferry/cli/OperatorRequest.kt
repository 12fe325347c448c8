package io.knapweedferry.cli

/** HTTP request to an API of an entry. */
internal class OperatorRequest(
    /** Path below that of [api]. */
    val path: String,
    /** JSON body of a POST; null sends a GET. */
    val body: String? = null,
    val api: EntryApi = EntryApi.OPERATOR,
    val query: Map<String, String> = emptyMap(),
    /** Formats the response body as text for the terminal. */
    val render: (String) -> String,
)
