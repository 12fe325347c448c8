package io.knapweedferry.config.stream

import kotlinx.serialization.Serializable
import java.util.UUID

/** Random id of one record, by which its writer finds it again when the answer to the append was lost. */
@Serializable
@JvmInline
public value class RecordId(
    public val value: String,
) {
    public companion object {
        /** Returns a new id. */
        public fun random(): RecordId = RecordId(UUID.randomUUID().toString())
    }
}
