package io.knapweedferry.platform.engine

import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.http.BufferedResponse
import io.knapweedferry.platform.http.HttpApiClient
import io.knapweedferry.platform.http.HttpErrorMapper
import io.knapweedferry.platform.http.SentFlag
import io.knapweedferry.platform.http.WireJson
import kotlinx.coroutines.channels.ProducerScope
import kotlinx.coroutines.channels.awaitClose
import kotlinx.coroutines.channels.trySendBlocking
import kotlinx.coroutines.flow.Flow
import kotlinx.coroutines.flow.callbackFlow
import kotlinx.serialization.SerializationException
import okhttp3.Call
import okhttp3.Callback
import okhttp3.HttpUrl
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.Response
import okio.BufferedSource
import java.io.IOException

/** Reads the token stream of `POST /generate`. A slow collector slows down the engine through TCP flow control. */
internal class HttpTokenStream(
    private val client: OkHttpClient,
    private val url: HttpUrl,
) {
    fun run(request: GenerateRequest): Flow<EngineEvent> =
        callbackFlow {
            val sentFlag = SentFlag()
            val body = HttpApiClient.jsonBody(GenerateRequest.serializer(), request)
            val call =
                client.newCall(
                    Request
                        .Builder()
                        .url(url)
                        .post(body)
                        .tag(SentFlag::class.java, sentFlag)
                        .build(),
                )
            call.enqueue(EventCallback(this, sentFlag))
            awaitClose { call.cancel() }
        }

    private class EventCallback(
        private val events: ProducerScope<EngineEvent>,
        private val sentFlag: SentFlag,
    ) : Callback {
        override fun onFailure(
            call: Call,
            e: IOException,
        ) = end(failed(e))

        override fun onResponse(
            call: Call,
            response: Response,
        ) = end(
            try {
                response.use(::read)
            } catch (e: IOException) {
                failed(e)
            } catch (e: SerializationException) {
                EngineEvent.Broken(HttpErrorMapper.decodingFailure(e))
            },
        )

        private fun read(response: Response): EngineEvent {
            if (!response.isSuccessful) {
                val error = HttpErrorMapper.ofStatus(BufferedResponse(response.code, "", response.peekBody(MAX_LINE_BYTES).string()))
                return EngineEvent.Broken(error)
            }
            val source = response.body.source()
            while (true) {
                val line = nextLine(source) ?: return EngineEvent.Broken(INCOMPLETE_RESPONSE)
                val event = toEvent(WireJson.decodeFromString(GenerateLine.serializer(), line))
                if (event !is EngineEvent.Token) return event
                if (events.trySendBlocking(event).isFailure) return EngineEvent.Broken(INCOMPLETE_RESPONSE)
            }
        }

        private fun nextLine(source: BufferedSource): String? {
            while (!source.exhausted()) {
                val line = source.readUtf8LineStrict(MAX_LINE_BYTES)
                if (line.isNotBlank()) return line
            }
            return null
        }

        private fun toEvent(line: GenerateLine): EngineEvent =
            when (line) {
                is GenerateLine.Token -> EngineEvent.Token(line.position, line.text)
                is GenerateLine.Finished -> EngineEvent.Finished(line.tokenCount, line.finishReason)
                is GenerateLine.Failed ->
                    EngineEvent.Broken(
                        PlatformError.NoResponse("engine aborted the response (${line.code}: ${line.message}); resume elsewhere"),
                    )
            }

        private fun failed(error: IOException): EngineEvent = EngineEvent.Broken(HttpErrorMapper.ofException(error, sentFlag))

        private fun end(last: EngineEvent) {
            events.trySendBlocking(last)
            events.close()
        }
    }

    private companion object {
        const val MAX_LINE_BYTES = 1L * 1024 * 1024
        val INCOMPLETE_RESPONSE = PlatformError.NoResponse("stream ended before the response was complete; resume from the next position")
    }
}
