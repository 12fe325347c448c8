package io.knapweedferry.testing.load

import arrow.core.Either
import kotlinx.coroutines.CompletableDeferred
import okhttp3.Call
import okhttp3.Callback
import okhttp3.Response
import java.io.IOException
import kotlin.time.TimeMark

/** Measures one service call. */
internal class ServiceCallback(
    private val request: PlannedRequest,
    private val arrival: TimeMark,
    private val result: CompletableDeferred<RequestResult>,
) : Callback {
    override fun onFailure(
        call: Call,
        e: IOException,
    ) {
        complete(ResultKind.FAILED, e.javaClass.simpleName)
    }

    override fun onResponse(
        call: Call,
        response: Response,
    ) {
        val body = Either.catch { response.use { it.body.string() } }.getOrNull()
        if (body == null) return complete(ResultKind.FAILED, "answer_broke_off")
        if (response.isSuccessful) return complete(ResultKind.COMPLETED, "")
        val code = ProblemReader.code(body, "http_${response.code}")
        complete(ProblemReader.kind(body, code, tokens = 0), code)
    }

    private fun complete(
        kind: ResultKind,
        reason: String,
    ) {
        val elapsedMs = arrival.elapsedNow().inWholeMicroseconds / MICROS_PER_MS
        result.complete(RequestResult(request, kind, reason, firstTokenMs = elapsedMs, endMs = elapsedMs))
    }

    private companion object {
        const val MICROS_PER_MS = 1_000.0
    }
}
