package io.knapweedferry.routing.http

import io.netty.channel.AdaptiveRecvByteBufAllocator
import io.netty.channel.RecvByteBufAllocator

/**
 * Limits what one connection may read in one turn of the event loop, so that a peer that sends very many tiny messages cannot
 * delay all other connections. Larger amounts are read in several turns.
 */
internal object ReadQuota {
    fun allocator(): RecvByteBufAllocator =
        AdaptiveRecvByteBufAllocator(MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES).maxMessagesPerRead(MAX_READS)

    private const val MAX_READS = 1
    private const val MIN_READ_BYTES = 64
    private const val INITIAL_READ_BYTES = 2 * 1024

    /** About 3,000 of the smallest chunks, which take a few ms to decode. */
    private const val MAX_READ_BYTES = 16 * 1024
}
