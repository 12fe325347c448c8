package io.knapweedferry.entry.http

import io.javalin.http.Context
import io.javalin.http.Handler
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.entry.pipeline.Authenticator
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray

/** `GET /v1/models`: lists the models that the caller's organisation may use. */
internal class ModelsRoute(
    private val config: ConfigSource,
    private val authenticator: Authenticator,
) : Handler {
    override fun handle(ctx: Context) {
        val request = CallerRequestReader.read(ctx)
        val snapshot = config.current()
        if (snapshot == null) {
            return ProblemResponse.write(ctx, ProblemDetail.of(Refusal(RefusalReason.NOT_READY), request.requestId))
        }
        authenticator.authenticate(request.bearerToken, snapshot).fold(
            { ProblemResponse.write(ctx, ProblemDetail.of(it, request.requestId)) },
            { organisation ->
                val allowed =
                    snapshot.state.organisations
                        .getValue(organisation)
                        .models
                val names =
                    snapshot.state.models.keys
                        .filter { allowed.isEmpty() || it in allowed }
                ctx.contentType("application/json").result(listing(names.map { it.value }.sorted()))
            },
        )
    }

    private fun listing(names: List<String>): String =
        buildJsonObject {
            put("object", "list")
            putJsonArray("data") {
                names.forEach { name ->
                    addJsonObject {
                        put("id", name)
                        put("object", "model")
                    }
                }
            }
        }.toString()
}
