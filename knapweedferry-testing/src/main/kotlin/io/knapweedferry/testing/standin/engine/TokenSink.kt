package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine

/** Receives the output of one stream; its functions never block. */
internal interface TokenSink {
    fun write(line: GenerateLine)

    /** Completes the response after all lines written so far. */
    fun end()

    /** Closes the connection without completing the response. */
    fun abort()
}
