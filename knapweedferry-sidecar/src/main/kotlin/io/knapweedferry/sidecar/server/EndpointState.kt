package io.knapweedferry.sidecar.server

import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import kotlinx.coroutines.flow.update

/** Tracks whether an endpoint accepts new work and how many attempts are in progress. */
internal class EndpointState(
    private val context: SidecarContext,
) {
    private val inProgress = MutableStateFlow(0)

    val inProgressCount: Int get() = inProgress.value

    /** True while the engine has not been confirmed to serve a model that matches its assignment. */
    @Volatile
    var suspended: Boolean = false

    val acceptsWork: Boolean get() = !suspended && !context.draining

    /** Counts a new attempt in progress; false, with nothing counted, if the endpoint accepts no work. */
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
