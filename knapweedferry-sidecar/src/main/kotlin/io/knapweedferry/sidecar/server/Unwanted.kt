package io.knapweedferry.sidecar.server

import io.knapweedferry.session.ReplySink
import kotlinx.coroutines.CancellationException
import kotlinx.coroutines.Job
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.ensureActive
import kotlinx.coroutines.launch

/** Runs [block] until it ends, the peer is gone or [over] completes; returns null, with the block cancelled, in the latter cases. */
internal suspend fun <T : Any> whileWanted(
    replies: ReplySink,
    over: Job,
    block: suspend () -> T,
): T? =
    coroutineScope {
        val work = async { block() }
        val peerWatch =
            launch {
                replies.awaitClosed()
                work.cancel()
            }
        val overWatch =
            launch {
                over.join()
                work.cancel()
            }
        try {
            work.await()
        } catch (_: CancellationException) {
            currentCoroutineContext().ensureActive()
            null
        } finally {
            peerWatch.cancel()
            overWatch.cancel()
        }
    }
