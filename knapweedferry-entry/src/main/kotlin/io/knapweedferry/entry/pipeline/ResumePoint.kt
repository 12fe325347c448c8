package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.EndpointId

/** Where a caller's answer broke off, as the id of the last event that it received names it. */
internal data class ResumePoint(
    val endpoint: EndpointId,
    val attempt: Int,
    /** Position of the next token that the caller needs. */
    val position: Int,
) {
    companion object {
        private val pattern = Regex("([^/]+)/([0-9]{1,6})/([0-9]{1,9})")

        /** Null if [text] is not an event id of the router. */
        fun parse(text: String): ResumePoint? {
            val (endpoint, attempt, position) = pattern.matchEntire(text)?.destructured ?: return null
            return ResumePoint(EndpointId(endpoint), attempt.toInt(), position.toInt())
        }
    }
}
