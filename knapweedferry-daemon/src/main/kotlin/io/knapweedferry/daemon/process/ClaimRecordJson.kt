package io.knapweedferry.daemon.process

import io.knapweedferry.policy.claim.ClaimRecord
import kotlinx.serialization.json.Json

/** JSON encoding of claim records in the log. */
internal object ClaimRecordJson {
    fun encode(record: ClaimRecord): String = Json.encodeToString(ClaimRecord.serializer(), record)
}
