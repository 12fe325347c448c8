package io.knapweedferry.it.config

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.util.Collections
import kotlin.concurrent.thread

/** Polls the revision of every entry and records each one that is lower than one seen at the same entry before. */
internal class RevisionWatch(
    deployment: LocalDeployment,
) : AutoCloseable {
    /** Revisions that went down, as text. */
    val regressions: MutableList<String> = Collections.synchronizedList(mutableListOf())

    @Volatile
    private var running = true

    @Volatile
    var polls = 0
        private set
    private val operator = Operator(deployment, Deployments.OPERATOR_TOKEN)
    private val threads = deployment.entries.indices.map { entry -> thread(isDaemon = true) { watch(entry) } }

    private fun watch(entry: Int) {
        var highest = -1L
        while (running) {
            val seen = revision(entry)
            if (seen != null && seen < highest) regressions += "entry-$entry went from $highest to $seen"
            highest = maxOf(highest, seen ?: highest)
            Thread.sleep(POLL_MS)
        }
    }

    /** Null if the entry does not answer, or has no current configuration and says so. */
    private fun revision(entry: Int): Long? =
        try {
            operator
                .status(entry)
                .also { polls++ }
                .takeIf { it.ready }
                ?.revision
                ?.value
        } catch (_: IOException) {
            null
        } catch (_: SerializationException) {
            null
        }

    override fun close() {
        running = false
        threads.forEach { it.join(JOIN_MS) }
    }

    private companion object {
        const val POLL_MS = 20L
        const val JOIN_MS = 11_000L
    }
}
