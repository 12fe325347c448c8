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
 * Detects whether a caller has disconnected before its response has started. The server does not read from a connection while
 * it handles a request, so only a write can detect this. The probe writes an interim response, which HTTP clients ignore.
 */
internal object CallerDisconnectProbe {
    /** Even simple clients ignore repeated 100 responses. The server itself sends them only in reply to `Expect: 100-continue`. */
    private val interimResponse = "HTTP/1.1 100 Continue\r\n\r\n".encodeToByteArray()

    /** A write completes at once unless the socket's send buffer is full, that is, unless many probes were not acknowledged. */
    private const val WRITE_TIMEOUT_MS = 100L

    /** @throws CallerDisconnectedException if the connection is broken or the write times out. */
    fun send(context: Context) {
        val connection = ServletContextRequest.getServletContextRequest(context.req()).connectionMetaData
        // HTTP/1.0 has no interim responses.
        if (connection.httpVersion != HttpVersion.HTTP_1_1) return
        val writeCompletion = Callback.Completable()
        connection.connection.endPoint.write(writeCompletion, ByteBuffer.wrap(interimResponse))
        try {
            writeCompletion[WRITE_TIMEOUT_MS, TimeUnit.MILLISECONDS]
        } catch (error: ExecutionException) {
            throw (error.cause as? IOException)?.let { CallerDisconnectedException(it) } ?: error
        } catch (timeout: TimeoutException) {
            throw CallerDisconnectedException(timeout)
        }
    }
}
