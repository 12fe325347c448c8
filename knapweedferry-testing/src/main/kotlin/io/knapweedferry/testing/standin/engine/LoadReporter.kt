package io.knapweedferry.testing.standin.engine

import io.knapweedferry.platform.engine.EngineLoad
import io.knapweedferry.testing.standin.settings.EngineSettings
import kotlinx.coroutines.delay

/** Load that one engine reports, which is between one and two periods old. */
internal class LoadReporter(
    private val settings: EngineSettings,
    private val periodMs: Long,
    private val memory: MemoryPool,
    private val decoder: Decoder,
    private val loader: ModelLoader,
) {
    var reported: EngineLoad = current()
        private set

    /** Samples the load until cancelled. */
    suspend fun serve() {
        var sampled = current()
        while (true) {
            delay(periodMs)
            reported = sampled
            sampled = current()
        }
    }

    /** Current load, without the reporting delay. */
    fun current(): EngineLoad {
        val loaded = loader.loaded
        return EngineLoad(
            slots = settings.slots,
            usedSlots = decoder.usedSlots,
            kvBlocks = settings.kvBlocks,
            usedKvBlocks = memory.usedBlocks,
            kvBlockTokens = settings.kvBlockTokens,
            model = loaded?.model.orEmpty(),
            version = loaded?.version.orEmpty(),
            role = loaded?.role ?: settings.role,
        )
    }
}
