package io.knapweedferry.routing.upstream

/**
 * Finds the head of a response within the body of another one: a status line, followed by a header that only endpoints set. An
 * endpoint that responds twice writes it there if its first response has no length or stops short of it. The body may arrive in
 * pieces of any size.
 */
internal class EmbeddedResponseScan(
    /** Names of the headers, in lower case. */
    private val endpointHeaders: Set<String>,
) {
    private enum class State { BODY, STATUS_LINE, HEADER_NAME, HEADER_VALUE }

    private var state = State.BODY
    private var matched = 0
    private var hasHeader = false
    private val line = StringBuilder()

    /** Forgets what has been scanned, at the start of a body. */
    fun reset() {
        state = State.BODY
        matched = 0
    }

    /** True once the body with the further [bytes] contains the head of a response. */
    fun finds(bytes: ByteArray): Boolean = bytes.any { finds(toChar(it)) }

    /** True if a status line begins within the scanned body and goes on in [following], the bytes behind that body. */
    fun findsAcrossEnd(following: ByteArray): Boolean {
        if (state == State.BODY && matched == 0) return false
        for (byte in following) {
            if (hasStatus) return true
            val matchedBefore = matched
            if (state == State.BODY) matchVersion(toChar(byte)) else checkStatus(toChar(byte))
            val hasLostCandidate = state == State.BODY && matched <= matchedBefore
            if (hasLostCandidate) return false
        }
        return following.isNotEmpty() && hasStatus
    }

    /** True if the scanned body ends within the headers of a response. */
    val endsWithinHeaders: Boolean get() = state == State.HEADER_VALUE || (state == State.HEADER_NAME && hasHeader)

    /**
     * True if the scanned body ends in another response: the head of that response may begin in a body that stops short of its length
     * ([isDelimited]) and go on in [following], or be all that arrives of it.
     */
    inline fun endsInOther(
        isDelimited: Boolean,
        following: () -> ByteArray,
    ): Boolean = if (isDelimited) findsAcrossEnd(following()) else endsWithinHeaders

    private val hasStatus: Boolean
        get() =
            when (state) {
                State.BODY -> false
                State.STATUS_LINE -> line.length == STATUS.length
                State.HEADER_NAME, State.HEADER_VALUE -> true
            }

    private fun toChar(byte: Byte) = (byte.toInt() and BYTE_MASK).toChar()

    private fun finds(char: Char): Boolean {
        when (state) {
            State.BODY -> matchVersion(char)
            State.STATUS_LINE -> if (char == '\n' && hasStatus) beginHeader() else checkStatus(char)
            State.HEADER_NAME -> return finishesEndpointHeader(char)
            State.HEADER_VALUE -> if (char == '\n') beginHeader()
        }
        return false
    }

    private fun matchVersion(char: Char) {
        matched =
            when (char) {
                VERSION[matched] -> matched + 1
                VERSION[0] -> 1
                else -> 0
            }
        if (matched == VERSION.length) {
            state = State.STATUS_LINE
            hasHeader = false
            line.clear()
        }
    }

    /** The version is followed by its last digit, a space and three digits. */
    private fun checkStatus(char: Char) {
        if (line.length >= STATUS.length) return
        val isExpected = if (STATUS[line.length] == ' ') char == ' ' else char.isDigit()
        if (isExpected) line.append(char) else returnToBody(char)
    }

    private fun beginHeader() {
        state = State.HEADER_NAME
        line.clear()
    }

    private fun finishesEndpointHeader(char: Char): Boolean {
        when {
            char == ':' -> {
                if (line.toString() in endpointHeaders) return true
                hasHeader = true
                state = State.HEADER_VALUE
            }
            line.length < MAX_NAME_CHARS && isNameChar(char) -> line.append(char.lowercaseChar())
            else -> returnToBody(char)
        }
        return false
    }

    private fun isNameChar(char: Char) = char.isLetterOrDigit() || char in NAME_SYMBOLS

    private fun returnToBody(char: Char) {
        reset()
        matchVersion(char)
    }

    private companion object {
        const val VERSION = "HTTP/1."

        /** Shape of what follows [VERSION]: digits and spaces. */
        const val STATUS = "0 000"
        const val MAX_NAME_CHARS = 64

        /** What a header name may contain beside letters and digits. */
        const val NAME_SYMBOLS = "!#$%&'*+-.^_`|~"
        const val BYTE_MASK = 0xff
    }
}
