package io.knapweedferry.entry.pipeline

import io.knapweedferry.api.EndpointId

/** Position at which an interrupted answer resumes, parsed from the id of the last event that the caller received. */
internal data class ResumePoint(
    val endpoint: EndpointId,
    val attempt: Int,
    /** Position of the next token that the caller needs. */
    val position: Int,
) {
    companion object {
        private val pattern = Regex("([^/]+)/([0-9]{1,6})/([0-9]{1,9})")

        /** Returns null if [text] is not a valid event id. */
        fun parse(text: String): ResumePoint? {
            val (endpoint, attempt, position) = pattern.matchEntire(text)?.destructured ?: return null
            return ResumePoint(EndpointId(endpoint), attempt.toInt(), position.toInt())
        }
    }
}
