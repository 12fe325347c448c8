package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.GenerateLine
import kotlinx.coroutines.CompletableDeferred

/** Token sink that collects the lines of one stream in memory. */
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

    override fun abort() = end()
}
