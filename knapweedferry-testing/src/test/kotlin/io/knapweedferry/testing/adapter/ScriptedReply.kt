package io.knapweedferry.testing.adapter

/** Response that a [ScriptedServer] writes whole or in one of several incomplete forms. */
internal data class ScriptedReply(
    val body: String,
    val status: Int = 200,
    val isChunked: Boolean = false,
) {
    /** Complete, with its length or in chunks. */
    val whole: String get() = head(framing) + if (isChunked) chunk(body) + "0\r\n\r\n" else body

    /** Complete but for the framing: the body ends with the connection. */
    val withoutLength: String get() = head("") + body

    /** Breaks off in the middle of the body. */
    val cutInBody: String get() = head(framing) + (if (isChunked) chunk(body) else body).let { it.take(it.length / 2) }

    /** Breaks off in the middle of the status line. */
    val cutInHead: String get() = whole.take(STATUS_LINE_PART_CHARS)

    private val framing: String get() = if (isChunked) "Transfer-Encoding: chunked\r\n" else "Content-Length: ${body.length}\r\n"

    private fun head(framing: String) = "HTTP/1.1 $status X\r\nContent-Type: application/json\r\n$framing\r\n"

    private fun chunk(text: String) = "${text.length.toString(HEX_RADIX)}\r\n$text\r\n"

    private companion object {
        const val STATUS_LINE_PART_CHARS = 10
        const val HEX_RADIX = 16
    }
}
