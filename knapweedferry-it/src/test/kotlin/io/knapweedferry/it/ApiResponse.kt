package io.knapweedferry.it

/** HTTP response to an API request. */
internal data class ApiResponse(
    val status: Int,
    val body: String,
)
