package io.knapweedferry.session

import io.knapweedferry.api.message.Message
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Unit of transfer after the handshake. Exchange ids are chosen by the side that connected. */
@Serializable
internal sealed interface Frame {
    /** Starts an exchange. */
    @Serializable
    @SerialName("request")
    data class Request(
        val exchange: Long,
        val message: Message,
    ) : Frame

    /** One reply of an exchange. */
    @Serializable
    @SerialName("reply")
    data class Reply(
        val exchange: Long,
        val message: Message,
    ) : Frame

    /** No further reply follows; [whole] is false if the handler failed. */
    @Serializable
    @SerialName("end")
    data class End(
        val exchange: Long,
        val whole: Boolean,
    ) : Frame

    /** The side that asked wants no further reply. */
    @Serializable
    @SerialName("abandon")
    data class Abandon(
        val exchange: Long,
    ) : Frame

    /** The side that accepted is stopping: the other opens no further exchange and closes the session once its exchanges have ended. */
    @Serializable
    @SerialName("go_away")
    data object GoAway : Frame

    /** Shows that the sender lives. */
    @Serializable
    @SerialName("heartbeat")
    data object Heartbeat : Frame
}
