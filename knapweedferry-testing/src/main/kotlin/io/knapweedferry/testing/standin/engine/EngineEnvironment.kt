package io.knapweedferry.testing.standin.engine

import io.knapweedferry.testing.standin.settings.EnginePerformance
import io.knapweedferry.testing.standin.weight.WeightStoreStandIn
import kotlinx.coroutines.CoroutineDispatcher
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Dispatchers
import kotlin.time.TimeSource

/** Dependencies and settings shared by all engines of a process. */
internal class EngineEnvironment(
    val enginePerformance: EnginePerformance,
    val directory: EngineDirectory,
    val weights: WeightStoreStandIn?,
    val seed: Long,
    val scope: CoroutineScope,
    val timeSource: TimeSource = TimeSource.Monotonic,
    /** Returns a dispatcher that runs one task at a time. */
    val dispatcher: () -> CoroutineDispatcher = { Dispatchers.Default.limitedParallelism(1) },
)
