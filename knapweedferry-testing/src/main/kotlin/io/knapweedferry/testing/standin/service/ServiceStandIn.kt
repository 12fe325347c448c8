package io.knapweedferry.testing.standin.service

import io.knapweedferry.testing.standin.http.AdminTarget
import io.knapweedferry.testing.standin.settings.ServiceSettings
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Plain service that counts executions. It does not deduplicate idempotency keys, so every repeated execution is counted. */
internal class ServiceStandIn(
    private val settings: ServiceSettings,
) : AdminTarget<ServiceFaults, ServiceStatistics> {
    private val executions = AtomicLong()
    private val byKey = ConcurrentHashMap<String, Int>()
    private val byRequestId = ConcurrentHashMap<String, Int>()
    private val byOperation = ConcurrentHashMap<String, Int>()

    @Volatile
    override var faults = ServiceFaults()
    override val faultsSerializer = ServiceFaults.serializer()
    override val statisticsSerializer = ServiceStatistics.serializer()

    override suspend fun statistics() = ServiceStatistics(executions.get(), HashMap(byKey), HashMap(byRequestId), HashMap(byOperation))

    /** Executes one operation; its only effect is to increment the counters. */
    suspend fun execute(call: ServiceCall): ServiceAnswer {
        faults.outage.apply()
        delay(settings.durationMs + faults.delayMs)
        val number = executions.incrementAndGet()
        byOperation.merge(call.operation, 1, Int::plus)
        call.idempotencyKey?.let { byKey.merge(it, 1, Int::plus) }
        call.requestId?.let { byRequestId.merge(it, 1, Int::plus) }
        faults.outageAfterEffect.apply()
        return ServiceAnswer(settings.name, call.operation, call.requestId, call.body.hashCode(), number)
    }
}
