package io.knapweedferry.entry.http

import io.javalin.http.Context
import io.knapweedferry.entry.pipeline.CallerDisconnectedException
import org.eclipse.jetty.ee10.servlet.ServletContextRequest
import org.eclipse.jetty.http.HttpVersion
import org.eclipse.jetty.util.Callback
import java.io.IOException
import java.nio.ByteBuffer
import java.util.concurrent.ExecutionException
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException

/**
 * Finds out whether a caller still waits for an answer that has not begun. The server reads nothing from a connection while
 * it handles a request, so only a write shows that the caller has left; an interim response is one that callers skip.
 */
internal object CallerProbe {
    /** The interim response that even plain clients skip any number of times; the server itself sends it only if it was asked for. */
    private val interimResponse = "HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray()

    /** The socket's send buffer takes some bytes at once unless nothing has left it for many probes. */
    private const val WRITE_TIMEOUT_MS = 100L

    /** @throws CallerDisconnectedException if the connection is broken. */
    fun send(context: Context) {
        val connection = ServletContextRequest.getServletContextRequest(context.req()).connectionMetaData
        // Callers of HTTP/1.0 know no interim responses.
        if (connection.httpVersion != HttpVersion.HTTP_1_1) return
        val written = Callback.Completable()
        connection.connection.endPoint.write(written, ByteBuffer.wrap(interimResponse))
        try {
            written[WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS]
        } catch (failed: ExecutionException) {
            throw (failed.cause as? IOException)?.let { CallerDisconnectedException(it) } ?: failed
        } catch (stalled: TimeoutException) {
            throw CallerDisconnectedException(stalled)
        }
    }
}
