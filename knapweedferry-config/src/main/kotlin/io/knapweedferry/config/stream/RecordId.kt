package io.knapweedferry.config.stream

import kotlinx.serialization.Serializable
import java.util.UUID

/** Random id of a record, by which its writer finds the record if the response to the append is lost. */
@Serializable
@JvmInline
public value class RecordId(
    public val value: String,
) {
    public companion object {
        /** Generates a new id. */
        public fun random(): RecordId = RecordId(UUID.randomUUID().toString())
    }
}
