package io.knapweedferry.testing.adapter

import io.knapweedferry.api.KvHandle
import io.knapweedferry.api.KvSource
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.StreamName
import io.knapweedferry.platform.engine.EngineCommand
import io.knapweedferry.platform.engine.EngineRequestId
import io.knapweedferry.platform.engine.GenerateRequest
import io.knapweedferry.platform.engine.PrefillRequest
import io.knapweedferry.platform.service.ServiceRequest
import kotlinx.coroutines.flow.toList

/** A call of one of the [PlatformClients], made twice; the responses to the two calls differ. */
internal enum class PlatformCall(
    val replies: List<ScriptedReply>,
    val run: suspend PlatformClients.(number: Int) -> Any,
) {
    PREFILL(
        replies { """{"source":{"handle":"h$it","engineUrl":"http://e$it","promptTokens":$it},"cachedTokens":$it}""" },
        { engine.prefill(PrefillRequest(id(it), "fleet", "prompt $it", 0, PlatformClients.TIMEOUT_MS)) },
    ),
    IMPORT(
        replies(200, 410),
        { engine.importKv(id(it), KvSource(KvHandle("h$it"), "http://e", 1), PlatformClients.TIMEOUT_MS) },
    ),
    GENERATE(
        replies(isChunked = true) {
            """{"type":"token","position":0,"text":"own $it"}""" + "\n" +
                """{"type":"finished","tokenCount":1,"finishReason":"stop"}""" + "\n"
        },
        { engine.generate(GenerateRequest(id(it), "fleet", "prompt $it", 10, 0, 0)).toList() },
    ),
    CANCEL(replies(200, 503), { engine.cancel(id(it)) }),
    RELEASE(replies(200, 404), { engine.releaseKv(KvHandle("h$it")) }),
    OCCUPYING_REQUESTS(replies { if (it == 1) "[]" else """["r2"]""" }, { engine.occupyingRequests() }),
    LOAD(
        replies {
            """{"slots":8,"usedSlots":$it,"pieces":9,"usedPieces":$it,"pieceTokens":4,"model":"m","version":"1","role":"decode"}"""
        },
        { engine.load() },
    ),
    CACHE_EVENTS(replies { """[{"sequence":$it,"prefixHash":"p$it","cached":true}]""" }, { engine.cacheEvents(it.toLong()) }),
    CONTROL(replies(200, 409), { engine.control(EngineCommand("fleet", "$it", null, "decode", it.toLong(), "i")) }),
    SERVICE(
        replies { """{"certificate":"of stamp $it"}""" },
        { service.call(ServiceRequest("r$it", "clerk", "stamp", "{}", "key-$it", PlatformClients.TIMEOUT_MS)) },
    ),
    APPEND(replies { """{"firstOffset":$it}""" }, { log.append(StreamName("claims-$it"), listOf("claim $it")) }),
    APPEND_AFTER_REFUSED(
        listOf(ScriptedReply("{}", 413), ScriptedReply("""{"firstOffset":7}""")),
        { log.append(StreamName("claims-$it"), listOf("claim $it")) },
    ),
    READ(
        replies { """{"firstOffset":0,"nextOffset":${it + 1},"nowMs":5,"records":[{"offset":$it,"atMs":5,"payload":"claim $it"}]}""" },
        { log.read(StreamName("claims-$it"), it.toLong()) },
    ),
    INSTANCES(
        replies {
            val instance = """{"instance":"i2","availabilityZone":"Lowell","sessionAddress":"10.0.0.2:1","state":"LIVE","endpoints":[]}"""
            if (it == 1) "[]" else "[$instance]"
        },
        { instances.list() },
    ),
    WEIGHTS(
        replies { """{"sizeBytes":$it,"rateBytesPerSecond":$it}""" },
        { weights.describe(ModelName("fleet"), "$it") },
    ),
}

private fun replies(
    isChunked: Boolean = false,
    body: (number: Int) -> String,
) = listOf(ScriptedReply(body(1), isChunked = isChunked), ScriptedReply(body(2), isChunked = isChunked))

private fun replies(vararg statuses: Int) = statuses.map { ScriptedReply("""{"code":"not_done"}""", it) }

private fun id(number: Int) = EngineRequestId("r$number")
