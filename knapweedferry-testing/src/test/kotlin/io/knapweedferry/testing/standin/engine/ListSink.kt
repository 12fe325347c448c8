package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import kotlinx.coroutines.CompletableDeferred

/** Collects the lines of one stream. */
internal class ListSink : TokenSink {
    private val lines = mutableListOf<GenerateLine>()
    val ended = CompletableDeferred<Unit>()

    fun texts(): List<String> = lines.filterIsInstance<GenerateLine.Token>().map { it.text }

    override fun write(line: GenerateLine) {
        lines += line
    }

    override fun end() {
        ended.complete(Unit)
    }

    override fun cut() = end()
}
