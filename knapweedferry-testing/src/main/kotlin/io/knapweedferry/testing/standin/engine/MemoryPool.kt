package io.knapweedferry.testing.standin.engine

/** KV cache memory of one engine in pieces of equal size, and the requests that reserve them. */
internal class MemoryPool(
    val pieces: Int,
    val pieceTokens: Int,
) {
    private val reserved = LinkedHashMap<String, Int>()

    var used = 0
        private set

    var peak = 0
        private set

    val owners: Set<String> get() = reserved.keys

    /** Called when pieces are freed. */
    var onFreed: () -> Unit = {}

    /** Extends the reservation of [owner] to [tokens] in total; returns false and changes nothing if they do not fit. */
    fun tryReserve(
        owner: String,
        tokens: Int,
    ): Boolean {
        val needed = (tokens + pieceTokens - 1) / pieceTokens
        val more = needed - (reserved[owner] ?: 0)
        if (more <= 0) return true
        if (used + more > pieces) return false
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
