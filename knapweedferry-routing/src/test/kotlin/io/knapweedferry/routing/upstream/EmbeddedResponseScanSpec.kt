package io.knapweedferry.routing.upstream

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource

/** Guards against bodies that contain a second response, and against sound bodies that are taken for such. */
internal class EmbeddedResponseScanSpec {
    enum class Body(
        val text: String,
        val containsResponse: Boolean,
    ) {
        EMPTY("", false),
        AT_START("HTTP/1.1 200 OK\r\nX-Mark: 1\r\n\r\n", true),
        WITHIN_LINE("half a boHTTP/1.1 503 X\r\nServer: s\r\nx-mark: 1\r\n\r\n", true),
        AFTER_FALSE_START("HTTHTTP/1.HTTP/1.1 200 OK\r\nX-Mark: 1", true),
        BARE_LINE_FEEDS("HTTP/1.0 200 OK\nX-MARK:1\n", true),
        NO_REASON("HTTP/1.1 200\r\nX-Mark: 1", true),
        SECOND_HEAD("HTTP/1.1 200 OK\r\nServer: s\r\n\r\nHTTP/1.1 200 OK\r\nX-Mark: 1", true),
        OTHER_HEADERS("HTTP/1.1 200 OK\r\nServer: s\r\nX-Marked: 1\r\n\r\n", false),
        AFTER_HEAD("HTTP/1.1 200 OK\r\nServer: s\r\n\r\nX-Mark: 1\r\n", false),
        PROSE("Send HTTP/1.1 requests, HTTP/1.1 200 is fine. X-Mark: is a header.", false),
        REQUEST_LINE("GET / HTTP/1.1\r\nX-Mark: 1\r\n\r\n", false),
        NAME_WITH_SYMBOLS("HTTP/1.1 200 OK\r\nx_trace.id: 1\r\nX-Mark: 1\r\n\r\n", true),
        VERSION_ALONE("use HTTP/1.\nX-Mark: 1\n", false),
        NO_STATUS("HTTP/1.1 OK\r\nX-Mark: 1", false),
    }

    @ParameterizedTest
    @EnumSource(Body::class)
    fun `only a status line with a header of an endpoint is a response, however the body is split`(body: Body) {
        val bytes = body.text.encodeToByteArray()
        for (pieceBytes in listOf(1, 2, 3, 7, maxOf(1, bytes.size))) {
            val scan = EmbeddedResponseScan(setOf("x-mark"))
            val pieces = bytes.toList().chunked(pieceBytes).map { it.toByteArray() }
            assertEquals(body.containsResponse, pieces.any(scan::finds), "pieces of $pieceBytes bytes")
        }
    }

    /** A body and the bytes behind it, which may belong to one status line. */
    enum class End(
        val body: String,
        val following: String,
        val isCut: Boolean,
    ) {
        ONE_BYTE_FILLED("half H", "TTP/1.1 200 OK\r\nX-Mark: 1", true),
        VERSION_FILLED("half HTTP/1.1", " 503 X\r\nServer: s", true),
        STATUS_FILLED("half HTTP/1.1 200", " OK\r\nServer: s", true),
        HEADER_FILLED("half HTTP/1.1 200 OK\r\nSer", "ver: s", true),
        WHOLE_RESPONSE_FOLLOWS("whole", "HTTP/1.1 200 OK\r\nX-Mark: 1", false),
        WHOLE_RESPONSE_FOLLOWS_LIKE_LETTER("whole H", "HTTP/1.1 200 OK\r\nX-Mark: 1", false),
        NOTHING_FOLLOWS("whole, with HTTP/1.1 200", "", false),
        OTHER_BYTES_FOLLOW("whole H", "Tx", false),
        OTHER_STATUS_FOLLOWS("whole HTTP/1.", "1 OK", false),
    }

    @ParameterizedTest
    @EnumSource(End::class)
    fun `a body that is filled up with the start of another response is found by the bytes behind it`(end: End) {
        val scan = EmbeddedResponseScan(setOf("x-mark"))
        assertFalse(scan.finds(end.body.encodeToByteArray()))
        assertEquals(end.isCut, scan.findsAcrossEnd(end.following.encodeToByteArray()))
    }
}
