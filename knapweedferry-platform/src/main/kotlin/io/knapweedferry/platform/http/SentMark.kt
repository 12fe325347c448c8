package io.knapweedferry.platform.http

/** Set as soon as the first byte of a request may have left this process. */
internal class SentMark {
    @Volatile
    var sent: Boolean = false
        private set

    fun set() {
        sent = true
    }
}
