package io.knapweedferry.testing.standin.engine

/** KV cache blocks of one engine and the requests that hold them. */
internal class MemoryPool(
    val kvBlocks: Int,
    val kvBlockTokens: Int,
) {
    private val held = LinkedHashMap<String, Int>()

    var used = 0
        private set

    var peak = 0
        private set

    val owners: Set<String> get() = held.keys

    /** Called when KV cache blocks become free. */
    var onFreed: () -> Unit = {}

    /** Lets [owner] hold enough for [tokens] in all; changes nothing if that does not fit. */
    fun tryHold(
        owner: String,
        tokens: Int,
    ): Boolean {
        val needed = (tokens + kvBlockTokens - 1) / kvBlockTokens
        val more = needed - (held[owner] ?: 0)
        if (more <= 0) return true
        if (used + more > kvBlocks) return false
        held[owner] = needed
        used += more
        peak = maxOf(peak, used)
        return true
    }

    fun free(owner: String) {
        val freed = held.remove(owner) ?: return
        used -= freed
        onFreed()
    }
}
