package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** Text form of the records of the `config` stream. */
public object RecordCodec {
    private val json =
        Json {
            classDiscriminator = "type"
            ignoreUnknownKeys = true
        }

    /** Returns the payload for the log. */
    public fun encode(record: ConfigRecord): String = json.encodeToString(ConfigRecord.serializer(), record)

    /** Reads a payload; the left side says why it is no known record. */
    public fun decode(payload: String): Either<String, ConfigRecord> =
        try {
            json.decodeFromString(ConfigRecord.serializer(), payload).right()
        } catch (fault: SerializationException) {
            (fault.message ?: fault.javaClass.simpleName).left()
        } catch (fault: IllegalArgumentException) {
            (fault.message ?: fault.javaClass.simpleName).left()
        }

    /** Returns the text that travels between peers and in snapshots. */
    public fun encodeFold(fold: FoldState): String = json.encodeToString(FoldState.serializer(), fold)

    /** Reads what [encodeFold] wrote, or null. */
    public fun decodeFold(text: String): FoldState? =
        try {
            json.decodeFromString(FoldState.serializer(), text)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
