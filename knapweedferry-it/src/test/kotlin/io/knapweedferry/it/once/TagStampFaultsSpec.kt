package io.knapweedferry.it.once

import com.fasterxml.uuid.Generators
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import kotlin.random.Random

/**
 * Guards against duplicate executions of an idempotency key, "not_run" responses for work that ran, and retries that get
 * another response than the first call, while entries, sidecars, links, the log and services fail. The system property
 * `once.seed` sets the seed to reproduce a run.
 */
internal class TagStampFaultsSpec {
    private val seed = System.getProperty("once.seed")?.toLong() ?: DEFAULT_SEED
    private val random = Random(seed)
    private val keyGenerator = Generators.timeBasedEpochGenerator()

    @Test
    fun `calls with an idempotency key run at most once under every fault`(
        @TempDir folder: Path,
    ) {
        println("TagStampFaultsSpec seed $seed")
        TagStampDeployments.start(folder, serviceCount = 2, seed).use { deployment ->
            TagStampClient(deployment).use { client ->
                InjectedFault.entries.shuffled(random).forEach { runWithFault(deployment, client, it) }
                client.awaitAll()
                val notRetriedCount = retryMost(deployment, client)
                val counts = ExecutionCounts.read(deployment)
                val kinds = countByKind(client)
                println("requests ${client.requestCount}, keys ${client.responses.size}, executions ${counts.total}, responses $kinds")
                println("keys with only not_run responses, not retried: $notRetriedCount; last responses of the others $finalKinds")
                assertEquals(emptyList<String>(), counts.violations(client.responses), "seed $seed")
                val completedKeys = client.responses.values.count { all -> all.any { it.isCompleted } }
                assertTrue(
                    completedKeys > client.responses.size / 2,
                    "only $completedKeys keys of ${client.responses.size} completed, seed $seed",
                )
            }
        }
    }

    /** Starts half of the calls before the fault and half during it. */
    private fun runWithFault(
        deployment: LocalDeployment,
        client: TagStampClient,
        fault: InjectedFault,
    ) {
        val entry = random.nextInt(2)
        val service = deployment.plan.services[random.nextInt(2)].name
        val delays = List(2) { random.nextLong(MAX_DELAY_MS) }
        repeat(KEYS_PER_PHASE) { startCalls(client, entry) }
        runAfter(delays[0]) { fault.begin(deployment, entry, service) }.get()
        try {
            repeat(KEYS_PER_PHASE) { startCalls(client, entry) }
        } finally {
            runAfter(FAULT_DURATION_MS + delays[1]) { fault.end(deployment, entry, service) }.get()
        }
    }

    /** Sends a new key through the failing entry, and for two of three keys also through the other, at once or shortly after. */
    private fun startCalls(
        client: TagStampClient,
        entry: Int,
    ) {
        val key = keyGenerator.generate().toString()
        val repeatAfterMs = if (random.nextBoolean()) 0 else random.nextLong(MAX_DELAY_MS)
        val repeated = random.nextInt(3) > 0
        client.start(key, entry)
        if (repeated) runAfter(repeatAfterMs) { client.start(key, 1 - entry) }.also(delayedStarts::add)
    }

    private var finalKinds: Map<String, Int> = emptyMap()
    private val delayedStarts = mutableListOf<CompletableFuture<Void>>()

    /** Retries all keys except about half of those with only "not_run" responses; returns how many were left out. */
    private fun retryMost(
        deployment: LocalDeployment,
        client: TagStampClient,
    ): Int {
        delayedStarts.forEach { it.get() }
        client.awaitAll()
        deployment.entries.indices.forEach(deployment::awaitReady)
        val (notRetried, retried) =
            client.responses
                .toSortedMap()
                .entries
                .partition { (_, all) -> all.all { it.isNotRun } && random.nextBoolean() }
        val last = retried.flatMap { (key, _) -> List(2) { client.start(key, it) } }
        client.awaitAll()
        finalKinds = last.groupingBy { "${it.get().kind} ${it.get().field("code").orEmpty()}" }.eachCount()
        return notRetried.size
    }

    private fun countByKind(client: TagStampClient) =
        client.responses.values
            .flatten()
            .groupingBy { it.kind }
            .eachCount()

    private fun runAfter(
        delayMs: Long,
        action: () -> Unit,
    ): CompletableFuture<Void> = CompletableFuture.runAsync(action, CompletableFuture.delayedExecutor(delayMs, TimeUnit.MILLISECONDS))

    private companion object {
        const val DEFAULT_SEED = 1L
        const val KEYS_PER_PHASE = 12
        const val MAX_DELAY_MS = 60L
        const val FAULT_DURATION_MS = 700L
    }
}
