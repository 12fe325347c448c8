package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine

/** Where an engine writes the answer of one stream; never blocks. */
internal interface TokenSink {
    fun write(line: GenerateLine)

    /** Ends the answer after all lines written. */
    fun end()

    /** Closes the connection without the rest of the answer. */
    fun cut()
}
