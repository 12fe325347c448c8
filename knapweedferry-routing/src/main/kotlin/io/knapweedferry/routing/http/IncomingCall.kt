package io.knapweedferry.routing.http

import io.knapweedferry.routing.pipeline.LocalResponse
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.HttpRequest
import java.io.ByteArrayOutputStream
import kotlin.time.TimeMark

/** Request whose body is being received. */
internal class IncomingCall(
    val request: HttpRequest,
    val arrived: TimeMark,
    private val bodyMemory: BodyMemoryLimit,
    private val maxBodyBytes: Int,
) {
    private val bytes = ByteArrayOutputStream()
    private var reservedBytes = 0

    /** Appends a part of the body; returns the error response if it exceeds a limit, otherwise null. */
    fun add(content: ByteBuf): LocalResponse? {
        val size = content.readableBytes()
        if (bytes.size() + size > maxBodyBytes) return LocalResponse.BODY_TOO_LARGE
        if (!bodyMemory.reserve(size)) return LocalResponse.ENTRY_FULL
        reservedBytes += size
        content.readBytes(bytes, size)
        return null
    }

    fun body(): ByteArray = bytes.toByteArray()

    /** Releases the reserved memory; to be called once the request is finished. */
    fun release() {
        bodyMemory.release(reservedBytes)
        reservedBytes = 0
    }
}
