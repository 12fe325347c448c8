package io.knapweedferry.testing.adapter

import io.knapweedferry.platform.http.HttpTransport
import io.knapweedferry.testing.standin.StandIns
import io.knapweedferry.testing.standin.settings.StandInsSettings
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody

/** Stand-ins on free loopback ports, with a transport to call them. */
internal class StandInsFixture(
    settings: String,
) : AutoCloseable {
    private val standIns = StandIns(StandInsSettings.parse(settings)).also { it.start() }
    private val admin = OkHttpClient()
    val transport = HttpTransport()

    fun url(name: String): String = standIns.url(name)

    fun setFaults(
        name: String,
        json: String,
    ) = post("${url(name)}/admin/faults", json)

    fun statistics(name: String): String = send(Request.Builder().url("${url(name)}/admin/ledger").build())

    fun post(
        url: String,
        json: String = "{}",
    ): String =
        send(
            Request
                .Builder()
                .url(url)
                .post(json.toRequestBody())
                .build(),
        )

    override fun close() {
        transport.close()
        standIns.close()
        admin.dispatcher.executorService.shutdown()
        admin.connectionPool.evictAll()
    }

    private fun send(request: Request): String =
        admin.newCall(request).execute().use {
            check(it.isSuccessful) { "${request.url} returned ${it.code}" }
            it.body.string()
        }
}
