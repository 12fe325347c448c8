package io.knapweedferry.testing.adapter

import java.net.Socket

/** A request at a [ScriptedServer], whose response the script writes. */
internal class ScriptedExchange(
    /** Number of the request at this server, from 1. */
    val number: Int,
    /** Number of the request on its connection, from 1. */
    val numberOnConnection: Int,
    private val socket: Socket,
) {
    /** Writes [text] as it is, in one segment if it is short. */
    fun write(text: String) {
        socket.getOutputStream().write(text.encodeToByteArray())
    }

    fun close() = socket.close()
}
