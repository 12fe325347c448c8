package io.knapweedferry.it.streams

import io.knapweedferry.it.streams.ChatResult.End
import java.io.IOException

/** Parses the server-sent events of a streamed answer line by line. */
internal class EventStreamParser(
    private val textOf: (String) -> String?,
) {
    val texts = mutableListOf<String>()
    private var lastId: String? = null
    private var end = End.SILENT_CUT
    private var detail = ""

    fun accept(line: String) {
        when {
            line == "event: error" -> end = End.ERROR_EVENT
            line == "data: [DONE]" -> end = if (end == End.ERROR_EVENT) End.SILENT_CUT else End.WHOLE
            line.startsWith("id: ") -> lastId = line.removePrefix("id: ")
            line.startsWith("data: ") && end == End.ERROR_EVENT -> detail = line
            line.startsWith("data: ") -> textOf(line)?.let { texts += it }
        }
    }

    fun connectionLost(error: IOException) {
        end = End.CONNECTION_BROKEN
        detail = error.toString()
    }

    fun result() = ChatResult(end, texts, lastId, detail)
}
