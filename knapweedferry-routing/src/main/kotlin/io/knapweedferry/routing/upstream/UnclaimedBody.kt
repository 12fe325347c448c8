package io.knapweedferry.routing.upstream

import java.io.ByteArrayOutputStream

/** Body of a response that no request waits for, while it is being received. */
internal class UnclaimedBody(
    val status: Int,
) {
    private val received = ByteArrayOutputStream()

    /** The read limit of the connection bounds the size. */
    fun add(bytes: ByteArray) = received.write(bytes)

    fun bytes(): ByteArray = received.toByteArray()
}
