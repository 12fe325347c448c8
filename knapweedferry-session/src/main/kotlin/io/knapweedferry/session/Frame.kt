package io.knapweedferry.session

import io.knapweedferry.api.message.Message
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Frame exchanged after the handshake. The client chooses exchange ids. */
@Serializable
internal sealed interface Frame {
    /** Starts an exchange; sent by the client. */
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

    /** Ends an exchange; [completed] is false if the handler failed or was not started. */
    @Serializable
    @SerialName("end")
    data class End(
        val exchange: Long,
        @SerialName("whole")
        val completed: Boolean,
    ) : Frame

    /** The client abandons an exchange and expects no further reply. */
    @Serializable
    @SerialName("abandon")
    data class Abandon(
        val exchange: Long,
    ) : Frame

    /** The server is stopping. The client opens no further exchange and closes the session once its exchanges have ended. */
    @Serializable
    @SerialName("go_away")
    data object GoAway : Frame

    /** Shows that the sender is alive. */
    @Serializable
    @SerialName("heartbeat")
    data object Heartbeat : Frame
}
