package io.knapweedferry.testing.standin.weight

import io.knapweedferry.platform.weight.WeightInfo
import io.knapweedferry.testing.standin.engine.Link
import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.http.ErrorResponseException
import io.knapweedferry.testing.standin.http.Outage
import io.knapweedferry.testing.standin.settings.WeightSettings
import java.util.concurrent.atomic.AtomicLong
import kotlin.time.TimeSource

/** Weight store whose bandwidth is shared by all concurrent loads. */
internal class WeightStoreStandIn(
    private val rateBytesPerSecond: Long,
    weights: List<WeightSettings>,
    private val timeSource: TimeSource = TimeSource.Monotonic,
) : AdminTarget<WeightStoreFaults, WeightStoreStatistics> {
    private val sizes = weights.associate { (it.model to it.version) to it.sizeBytes }
    private val link = Link("weights", rateBytesPerSecond)
    private val loads = AtomicLong()
    private val loadedBytes = AtomicLong()

    @Volatile
    override var faults = WeightStoreFaults()
    override val faultsSerializer = WeightStoreFaults.serializer()
    override val statisticsSerializer = WeightStoreStatistics.serializer()

    override suspend fun statistics() = WeightStoreStatistics(loads.get(), loadedBytes.get())

    suspend fun describe(
        model: String,
        version: String,
    ): WeightInfo {
        faults.outage.apply()
        return WeightInfo(size(model, version), rateBytesPerSecond)
    }

    fun has(
        model: String,
        version: String,
    ): Boolean = (model to version) in sizes

    /** Suspends for the time it takes to load the weights. */
    suspend fun load(
        model: String,
        version: String,
    ) {
        val bytes = size(model, version)
        Link.transfer(bytes, listOf(link), timeSource) { faults.stalled || faults.outage != Outage.NONE }
        loads.incrementAndGet()
        loadedBytes.addAndGet(bytes)
    }

    private fun size(
        model: String,
        version: String,
    ): Long = sizes[model to version] ?: throw ErrorResponseException.notFound("no weights of $model version $version")
}
