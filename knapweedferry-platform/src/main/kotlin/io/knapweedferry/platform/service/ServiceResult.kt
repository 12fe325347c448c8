package io.knapweedferry.platform.service

/** Reply of a plain service. */
public data class ServiceResult(
    val status: Int,
    val contentType: String,
    val body: String,
)
