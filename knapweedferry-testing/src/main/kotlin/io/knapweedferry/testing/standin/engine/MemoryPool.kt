package io.knapweedferry.testing.standin.engine

/** KV cache blocks of one engine and the requests that reserve them. */
internal class MemoryPool(
    val kvBlocks: Int,
    val kvBlockTokens: Int,
) {
    private val reserved = LinkedHashMap<String, Int>()

    var used = 0
        private set

    var peak = 0
        private set

    val owners: Set<String> get() = reserved.keys

    /** Called when KV cache blocks are freed. */
    var onFreed: () -> Unit = {}

    /** Extends the reservation of [owner] to [tokens] in total; returns false and changes nothing if they do not fit. */
    fun tryReserve(
        owner: String,
        tokens: Int,
    ): Boolean {
        val needed = (tokens + kvBlockTokens - 1) / kvBlockTokens
        val more = needed - (reserved[owner] ?: 0)
        if (more <= 0) return true
        if (used + more > kvBlocks) return false
        reserved[owner] = needed
        used += more
        peak = maxOf(peak, used)
        return true
    }

    fun free(owner: String) {
        val freed = reserved.remove(owner) ?: return
        used -= freed
        onFreed()
    }
}
