package io.knapweedferry.testing.standin.engine

import io.javalin.http.Context
import io.knapweedferry.platform.engine.GenerateLine
import io.knapweedferry.testing.standin.http.Calls
import jakarta.servlet.ServletOutputStream
import jakarta.servlet.WriteListener
import java.io.ByteArrayOutputStream
import java.io.IOException
import java.util.concurrent.CompletableFuture

/** Writes lines to an HTTP response without blocking a thread; a slow reader only fills a buffer as long as the answer. */
internal class NdjsonSink(
    private val context: Context,
    private val onBroken: (TokenSink) -> Unit,
) : TokenSink,
    WriteListener {
    /** Completes when the response is written or the connection is broken. */
    val done = CompletableFuture<Unit>()

    private val lock = Any()
    private val pending = ByteArrayOutputStream()
    private var output: ServletOutputStream? = null
    private var unflushed = false
    private var ended = false

    /** Starts the response; only allowed once the request is asynchronous. */
    fun open() {
        context.res().contentType = "application/x-ndjson"
        context.res().outputStream.setWriteListener(this)
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

    override fun cut() {
        Calls.cut(context)
        done.complete(Unit)
    }

    override fun onWritePossible() =
        synchronized(lock) {
            if (output == null) {
                output = context.res().outputStream
                // Sends the status before the first token.
                unflushed = true
            }
            drain()
        }

    override fun onError(t: Throwable) = broken()

    private fun drain() {
        val out = output ?: return
        if (done.isDone) return
        try {
            while (out.isReady && (pending.size() > 0 || unflushed)) writeOrFlush(out)
            val written = pending.size() == 0 && !unflushed
            if (ended && written && out.isReady) done.complete(Unit)
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

    private fun broken() {
        if (!done.complete(Unit)) return
        onBroken(this)
    }
}
