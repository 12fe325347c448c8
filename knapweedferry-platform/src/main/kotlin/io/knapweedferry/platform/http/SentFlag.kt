package io.knapweedferry.platform.http

/** Request tag that is set before the first byte of the request is written. */
internal class SentFlag {
    @Volatile
    var sent: Boolean = false
        private set

    fun set() {
        sent = true
    }
}
