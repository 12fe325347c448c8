package io.knapweedferry.platform.http

import kotlinx.serialization.SerializationException

/**
 * Detects a body that contains a second response. A server that responds twice appends it to a response without a length, or
 * fills up one that stopped short of its length.
 */
internal object EmbeddedResponseCheck {
    private const val VERSION = "HTTP/1."
    private val HEAD = Regex("""HTTP/1\.[01] \d{3}[^\r\n]*\r?\n[\w-]+:""")

    /** JSON never ends like a status line. Other formats may quote one, so only a status line with a header counts in them. */
    fun isIn(response: BufferedResponse): Boolean =
        HEAD.containsMatchIn(response.body) || (containsVersion(response.body) && isMalformedJson(response))

    private fun containsVersion(body: String): Boolean = VERSION in body || VERSION.indices.any { body.endsWith(VERSION.take(it + 1)) }

    private fun isMalformedJson(response: BufferedResponse): Boolean {
        if (!response.contentType.startsWith("application/json", ignoreCase = true)) return false
        return try {
            WireJson.parseToJsonElement(response.body)
            false
        } catch (_: SerializationException) {
            true
        }
    }
}
