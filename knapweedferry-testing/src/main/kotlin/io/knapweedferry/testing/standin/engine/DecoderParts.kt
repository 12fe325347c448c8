package io.knapweedferry.testing.standin.engine

/** Parts of an engine that its decoder works with. */
internal class DecoderParts(
    val memory: MemoryPool,
    val prefills: PrefillQueue,
    val imports: KvImports,
    val counters: EngineCounters,
    val faults: () -> EngineFaults,
)
