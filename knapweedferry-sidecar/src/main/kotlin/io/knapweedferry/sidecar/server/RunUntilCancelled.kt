package io.knapweedferry.sidecar.server

import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/** Runs [block]; cancels it and returns null if the peer of [replies] disconnects or [cancellation] completes first. */
internal suspend fun <T : Any> runUntilCancelled(
    replies: ReplySink,
    cancellation: Job,
    block: suspend () -> T,
): T? =
    coroutineScope {
        val running = async { block() }
        val disconnectWatch =
            launch {
                replies.awaitClosed()
                running.cancel()
            }
        val cancellationWatch =
            launch {
                cancellation.join()
                running.cancel()
            }
        try {
            running.await()
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } finally {
            disconnectWatch.cancel()
            cancellationWatch.cancel()
        }
    }
