package io.knapweedferry.testing.standin.engine

/** KV cache blocks of one engine and the requests that reserve them. */
internal class MemoryPool(
    val kvBlocks: Int,
    val kvBlockTokens: Int,
) {
    private val reserved = LinkedHashMap<String, Int>()

    var usedBlocks = 0
        private set

    var peakUsedBlocks = 0
        private set

    val owners: Set<String> get() = reserved.keys

    /** Called when a reservation is freed. */
    var onFreed: () -> Unit = {}

    /** Extends the reservation of [owner] to [tokens] in total; returns false and changes nothing if they do not fit. */
    fun tryReserve(
        owner: String,
        tokens: Int,
    ): Boolean {
        val needed = (tokens + kvBlockTokens - 1) / kvBlockTokens
        val additional = needed - (reserved[owner] ?: 0)
        if (additional <= 0) return true
        if (usedBlocks + additional > kvBlocks) return false
        reserved[owner] = needed
        usedBlocks += additional
        peakUsedBlocks = maxOf(peakUsedBlocks, usedBlocks)
        return true
    }

    fun free(owner: String) {
        val freed = reserved.remove(owner) ?: return
        usedBlocks -= freed
        onFreed()
    }
}
