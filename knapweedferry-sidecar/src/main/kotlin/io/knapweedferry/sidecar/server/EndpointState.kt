package io.knapweedferry.sidecar.server

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Whether an endpoint takes new work, and how much is in progress. */
internal class EndpointState(
    private val context: SidecarContext,
) {
    private val inProgress = MutableStateFlow(0)

    /** Work in progress now. */
    val inProgressCount: Int get() = inProgress.value

    /** True while an order changes what the endpoint serves. */
    @Volatile
    var suspended: Boolean = false

    val acceptsWork: Boolean get() = !suspended && !context.draining

    /** Counts new work; false, with nothing counted, if the endpoint takes none. */
    fun tryBegin(): Boolean {
        inProgress.update { it + 1 }
        if (acceptsWork) return true
        end()
        return false
    }

    fun end() = inProgress.update { it - 1 }

    suspend fun awaitIdle() {
        inProgress.first { it == 0 }
    }
}
