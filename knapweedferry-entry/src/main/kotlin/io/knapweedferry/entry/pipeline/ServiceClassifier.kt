package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.ServiceName
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.OperationPolicy
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/** Validates a service call against the configuration and its idempotency key. */
internal class ServiceClassifier(
    private val timeSource: TimeSource,
    private val keyRule: IdempotencyKeyRule,
) {
    fun classify(
        request: CallerRequest,
        organisation: OrganisationId,
        service: ServiceName,
        operation: OperationName,
        config: ConfigSnapshot,
    ): Either<Refusal, ServiceJob> {
        val servicePolicy = config.state.services[service] ?: return notConfigured("service '${service.value}'")
        val policy = servicePolicy.operations[operation] ?: return notConfigured("operation '${operation.value}'")
        return keyRule.requiredKey(policy.repeatable, request.idempotencyKey).map { key ->
            ServiceJob(
                requestId = request.requestId,
                organisation = organisation,
                service = service,
                operation = operation,
                rank = servicePolicy.rank,
                body = request.body,
                key = key,
                deadline = timeSource.markNow() + deadlineMs(policy).milliseconds,
            )
        }
    }

    /** The service may use its full timeout; the margin covers the claim, queueing and retries. */
    private fun deadlineMs(policy: OperationPolicy): Long = policy.timeoutMs + ROUTING_MARGIN_MS

    private fun notConfigured(what: String) = Refusal(RefusalReason.UNKNOWN_SERVICE, "$what is not configured").left()

    private companion object {
        const val ROUTING_MARGIN_MS = 5_000L
    }
}
