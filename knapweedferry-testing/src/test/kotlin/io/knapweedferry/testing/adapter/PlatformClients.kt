package io.knapweedferry.testing.adapter

import io.knapweedferry.platform.engine.HttpEngine
import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.platform.http.HttpTransportSettings
import io.knapweedferry.platform.instance.HttpInstanceList
import io.knapweedferry.platform.log.HttpAppendLog
import io.knapweedferry.platform.service.HttpService
import io.knapweedferry.platform.weight.HttpWeightStore

/** All HTTP clients of the chat entry and the sidecar, connected to the same server. */
internal class PlatformClients(
    url: String,
) : AutoCloseable {
    private val transport = HttpTransport(HttpTransportSettings(streamIdleTimeoutMs = TIMEOUT_MS))
    val engine = HttpEngine(transport, url, TIMEOUT_MS)
    val service = HttpService(transport, url)
    val log = HttpAppendLog(transport, url, TIMEOUT_MS)
    val instances = HttpInstanceList(transport, url, TIMEOUT_MS)
    val weights = HttpWeightStore(transport, url, TIMEOUT_MS)

    override fun close() = transport.close()

    companion object {
        const val TIMEOUT_MS = 1_000L
    }
}
