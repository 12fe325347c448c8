package io.knapweedferry.config.stream

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import kotlinx.serialization.SerializationException
import kotlinx.serialization.json.Json

/** JSON encoding of the records of the `config` stream. */
public object RecordCodec {
    private val json =
        Json {
            classDiscriminator = "type"
            ignoreUnknownKeys = true
        }

    /** Returns the payload for the log. */
    public fun encode(record: ConfigRecord): String = json.encodeToString(ConfigRecord.serializer(), record)

    /** Decodes a payload; the left side is the reason why it is not a known record. */
    public fun decode(payload: String): Either<String, ConfigRecord> =
        try {
            json.decodeFromString(ConfigRecord.serializer(), payload).right()
        } catch (exception: SerializationException) {
            (exception.message ?: exception.javaClass.simpleName).left()
        } catch (exception: IllegalArgumentException) {
            (exception.message ?: exception.javaClass.simpleName).left()
        }

    /** Encodes a state for transfer to a peer. */
    public fun encodeState(state: ConfigStreamState): String = json.encodeToString(ConfigStreamState.serializer(), state)

    /** Decodes the result of [encodeState]; returns null for invalid text. */
    public fun decodeState(text: String): ConfigStreamState? =
        try {
            json.decodeFromString(ConfigStreamState.serializer(), text)
        } catch (_: SerializationException) {
            null
        } catch (_: IllegalArgumentException) {
            null
        }
}
