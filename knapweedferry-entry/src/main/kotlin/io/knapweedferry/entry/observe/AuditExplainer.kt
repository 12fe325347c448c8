package io.knapweedferry.entry.observe

import arrow.core.Either
import io.knapweedferry.api.RequestId
import io.knapweedferry.entry.operator.RequestExplainer
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.telemetry.AuditMatch
import io.knapweedferry.telemetry.AuditReader
import io.knapweedferry.telemetry.AuditRecord
import io.knapweedferry.telemetry.AuditSearchResult
import kotlinx.serialization.json.JsonElement
import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.addJsonObject
import kotlinx.serialization.json.buildJsonObject
import kotlinx.serialization.json.put
import kotlinx.serialization.json.putJsonArray
import kotlinx.serialization.json.putJsonObject

/** Explains a request by its records in the audit stream; the result says whether records may be missing. */
internal class AuditExplainer(
    private val reader: AuditReader,
) : RequestExplainer {
    override suspend fun explain(request: RequestId): Either<PlatformError, JsonElement?> =
        reader.find(request).map { result -> result.takeIf { it.matches.isNotEmpty() }?.let { report(request, it) } }

    private fun report(
        request: RequestId,
        result: AuditSearchResult,
    ): JsonObject =
        buildJsonObject {
            put("request_id", request.value)
            put("may_be_incomplete", result.mayBeIncomplete)
            put("dropped_records", result.droppedRecords)
            putJsonArray("records") { result.matches.forEach { add(record(it)) } }
        }

    private fun record(match: AuditMatch): JsonObject {
        val record: AuditRecord = match.record
        return buildJsonObject {
            put("process", match.process.value)
            put("organisation", record.organisation?.value)
            put("started_at_ms", record.startedAtMs)
            put("elapsed_ms", record.elapsedMs)
            put("outcome", record.outcome)
            putJsonArray("steps") {
                record.steps.forEach { step ->
                    addJsonObject {
                        put("at_ms", step.elapsedMs)
                        put("stage", step.stage)
                        put("decision", step.decision)
                        put("reason", step.reason)
                        putJsonObject("inputs") { step.inputs.forEach { (key, value) -> put(key, value) } }
                    }
                }
            }
        }
    }
}
