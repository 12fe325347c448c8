package io.knapweedferry.testing.standin.engine

/** Components of an engine that its decoder uses. */
internal class DecoderDependencies(
    val memory: MemoryPool,
    val prefills: PrefillQueue,
    val imports: KvImports,
    val counters: EngineCounters,
    val faults: () -> EngineFaults,
)
