package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import io.knapweedferry.testing.standin.http.RequestHandler
import jakarta.servlet.AsyncContext
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import jakarta.servlet.http.HttpServletRequest
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Writes lines to an HTTP response without blocking a thread; for a slow reader, lines are buffered, at most the whole answer. */
internal class NdjsonSink(
    private val async: AsyncContext,
    private val onDisconnect: (TokenSink) -> Unit,
) : TokenSink,
    WriteListener {
    private val lock = Any()
    private val pending = ByteArrayOutputStream()
    private var output: ServletOutputStream? = null
    private var unflushed = false
    private var ended = false
    private var completed = false

    /** Starts the response. */
    fun open() {
        async.response.contentType = "application/x-ndjson"
        async.response.outputStream.setWriteListener(this)
    }

    override fun write(line: GenerateLine) =
        synchronized(lock) {
            pending.write(RequestHandler.json.encodeToString(GenerateLine.serializer(), line).encodeToByteArray())
            pending.write('\n'.code)
            drain()
        }

    override fun end() =
        synchronized(lock) {
            ended = true
            drain()
        }

    override fun abort() =
        synchronized(lock) {
            if (!completed) RequestHandler.closeConnection(async.request as HttpServletRequest)
            complete()
        }

    override fun onWritePossible() =
        synchronized(lock) {
            if (output == null && !completed) {
                output = async.response.outputStream
                // Flushes the status line before the first token.
                unflushed = true
            }
            drain()
        }

    override fun onError(t: Throwable) = disconnect()

    private fun drain() {
        val out = output ?: return
        if (completed) return
        try {
            while (out.isReady && (pending.size() > 0 || unflushed)) writeOrFlush(out)
            val written = pending.size() == 0 && !unflushed
            if (ended && written && out.isReady) complete()
        } catch (_: IOException) {
            disconnect()
        }
    }

    private fun writeOrFlush(out: ServletOutputStream) {
        if (pending.size() == 0) {
            unflushed = false
            out.flush()
            return
        }
        val bytes = pending.toByteArray()
        pending.reset()
        unflushed = true
        out.write(bytes)
    }

    private fun disconnect() =
        synchronized(lock) {
            if (!completed) onDisconnect(this)
            complete()
        }

    private fun complete() {
        if (completed) return
        completed = true
        async.complete()
    }
}
