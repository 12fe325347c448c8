package io.knapweedferry.routing.http

import io.netty.channel.Channel
import kotlin.time.TimeMark
import kotlin.time.TimeSource

/** Observes whether the peer of [channel] takes what has been written. Confined to the event loop. */
internal class OutputProgress(
    private val channel: Channel,
    private val timeSource: TimeSource,
) {
    private var lastBytes = 0L
    private var lastMessage: Any? = null
    private var lastMessageBytes = 0L
    private var lastProgress: TimeMark = timeSource.markNow()

    /** Bytes that have been written and that the socket has not accepted. */
    val unreadBytes: Long get() = channel.unsafe().outboundBuffer()?.totalPendingWriteBytes() ?: 0

    /** Time since the peer last made room for further bytes, or since there were none to take; [poll] updates it. */
    val stalledMs: Long get() = lastProgress.elapsedNow().inWholeMilliseconds

    /** To be called more often than the shortest time that matters. */
    fun poll() {
        val buffer = channel.unsafe().outboundBuffer()
        val bytes = buffer?.totalPendingWriteBytes() ?: 0
        val message = buffer?.current()
        val messageBytes = buffer?.currentProgress() ?: 0
        val isUnchanged = bytes >= lastBytes && message === lastMessage && messageBytes == lastMessageBytes
        if (bytes == 0L || !isUnchanged) lastProgress = timeSource.markNow()
        lastBytes = bytes
        lastMessage = message
        lastMessageBytes = messageBytes
    }
}
