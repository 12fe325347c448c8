package io.knapweedferry.it.config

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.serialization.SerializationException
import java.io.IOException
import java.util.Collections
import kotlin.concurrent.thread

/** Polls the configuration revision of each entry and records every decrease. */
internal class RevisionMonitor(
    deployment: LocalDeployment,
) : AutoCloseable {
    /** Description of each decrease. */
    val regressions: MutableList<String> = Collections.synchronizedList(mutableListOf())

    @Volatile
    private var running = true

    @Volatile
    var pollCount = 0
        private set
    private val operator = OperatorClient(deployment, Deployments.OPERATOR_TOKEN)
    private val threads = deployment.entries.indices.map { entry -> thread(isDaemon = true) { poll(entry) } }

    private fun poll(entry: Int) {
        var highest = -1L
        while (running) {
            val seen = revision(entry)
            if (seen != null && seen < highest) regressions += "entry-$entry went from $highest to $seen"
            highest = maxOf(highest, seen ?: highest)
            Thread.sleep(POLL_MS)
        }
    }

    /** Null if the entry does not respond, or reports that it is not ready for lack of a current configuration. */
    private fun revision(entry: Int): Long? =
        try {
            operator
                .status(entry)
                .also { pollCount++ }
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
        threads.forEach { it.join(JOIN_TIMEOUT_MS) }
    }

    private companion object {
        const val POLL_MS = 20L

        /** Longer than the read timeout of [OperatorClient]. */
        const val JOIN_TIMEOUT_MS = 11_000L
    }
}
