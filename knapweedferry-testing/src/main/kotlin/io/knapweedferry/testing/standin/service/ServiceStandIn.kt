package io.knapweedferry.testing.standin.service

import io.knapweedferry.testing.standin.http.Admin
import io.knapweedferry.testing.standin.settings.ServiceSettings
import kotlinx.coroutines.delay
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicLong

/** Plain service that counts executions and does not recognise repeated keys, so that every repetition shows. */
internal class ServiceStandIn(
    private val settings: ServiceSettings,
) : Admin<ServiceFaults, ServiceLedger> {
    private val executions = AtomicLong()
    private val byKey = ConcurrentHashMap<String, Int>()
    private val byRequestId = ConcurrentHashMap<String, Int>()
    private val byOperation = ConcurrentHashMap<String, Int>()

    @Volatile
    override var faults = ServiceFaults()
    override val faultsSerializer = ServiceFaults.serializer()
    override val ledgerSerializer = ServiceLedger.serializer()

    override suspend fun ledger() = ServiceLedger(executions.get(), HashMap(byKey), HashMap(byRequestId), HashMap(byOperation))

    /** Runs one operation; the effect is the entry in the ledger. */
    suspend fun execute(call: ServiceCall): ServiceAnswer {
        faults.outage.apply()
        delay(settings.durationMs + faults.delayMs)
        val number = executions.incrementAndGet()
        byOperation.merge(call.operation, 1, Int::plus)
        call.key?.let { byKey.merge(it, 1, Int::plus) }
        call.requestId?.let { byRequestId.merge(it, 1, Int::plus) }
        faults.outageAfterEffect.apply()
        return ServiceAnswer(settings.name, call.operation, call.requestId, call.body.hashCode(), number)
    }
}
