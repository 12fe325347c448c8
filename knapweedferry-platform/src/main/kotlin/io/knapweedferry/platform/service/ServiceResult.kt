package io.knapweedferry.platform.service

/** Response of a plain HTTP service. */
public data class ServiceResult(
    val status: Int,
    val contentType: String,
    val body: String,
)
