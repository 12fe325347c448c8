package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import io.knapweedferry.testing.standin.http.Calls
import jakarta.servlet.AsyncContext
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import jakarta.servlet.http.HttpServletRequest
import java.io.ByteArrayOutputStream
import java.io.IOException

/** Writes lines to an HTTP response without blocking a thread; a slow reader only fills a buffer as long as the answer. */
internal class NdjsonSink(
    private val async: AsyncContext,
    private val onBroken: (TokenSink) -> Unit,
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
            pending.write(Calls.json.encodeToString(GenerateLine.serializer(), line).encodeToByteArray())
            pending.write('\n'.code)
            drain()
        }

    override fun end() =
        synchronized(lock) {
            ended = true
            drain()
        }

    override fun cut() =
        synchronized(lock) {
            if (!completed) Calls.cut(async.request as HttpServletRequest)
            complete()
        }

    override fun onWritePossible() =
        synchronized(lock) {
            if (output == null && !completed) {
                output = async.response.outputStream
                // Sends the status before the first token.
                unflushed = true
            }
            drain()
        }

    override fun onError(t: Throwable) = broken()

    private fun drain() {
        val out = output ?: return
        if (completed) return
        try {
            while (out.isReady && (pending.size() > 0 || unflushed)) writeOrFlush(out)
            val written = pending.size() == 0 && !unflushed
            if (ended && written && out.isReady) complete()
        } catch (_: IOException) {
            broken()
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

    private fun broken() =
        synchronized(lock) {
            if (!completed) onBroken(this)
            complete()
        }

    private fun complete() {
        if (completed) return
        completed = true
        async.complete()
    }
}
