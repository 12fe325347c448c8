package io.knapweedferry.it.config

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.it.ApiClient
import io.knapweedferry.it.DaemonLibraries
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.MethodOrderer
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.TestMethodOrder
import org.junit.jupiter.api.io.TempDir
import java.nio.file.Path
import java.util.concurrent.Callable
import java.util.concurrent.CyclicBarrier
import java.util.concurrent.Executors

/**
 * Guards against two accepted changes with the same base revision, entries that disagree on which change was accepted, a
 * revision that decreases, and stale configuration in use after a process was suspended or restarted.
 */
@TestInstance(Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.MethodName::class)
internal class ConfigurationSpec {
    private lateinit var deployment: LocalDeployment
    private lateinit var monitor: RevisionMonitor
    private val alice by lazy { OperatorClient(deployment, Deployments.OPERATOR_TOKEN) }
    private val bob by lazy { OperatorClient(deployment, Deployments.OTHER_OPERATOR_TOKEN) }

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        val plan = Deployments.small()
        println("seed ${plan.seed}")
        deployment = LocalDeployment(plan, folder, DaemonLibraries.classPath)
        deployment.start()
        monitor = RevisionMonitor(deployment)
    }

    @AfterAll
    fun stop() {
        monitor.close()
        deployment.close()
        assertTrue(monitor.pollCount > 0)
        assertEquals(emptyList<String>(), monitor.regressions)
    }

    @Test
    fun `of two concurrent changes one is accepted and the conflict response names it`() {
        repeat(ROUNDS) { round ->
            // Every second round drops 30 % of the log responses after the append took effect, to cover confirmations without one.
            deployment.setStandInFaults("log", """{"lostAnswerProbability":${if (round % 2 == 1) 0.3 else 0.0}}""")
            val plans = listOf(alice.propose(0, replaceApiKey("alice-$round")), bob.propose(1, replaceApiKey("bob-$round")))
            assertEquals(plans[0].plan.base, plans[1].plan.base, "the plans have different base revisions")
            val responses = confirmTogether({ alice.confirm(0, plans[0]) }, { bob.confirm(1, plans[1]) })
            deployment.setStandInFaults("log", "{}")
            assertEquals(listOf(200, 409), responses.map { it.status }.sorted(), responses.toString())
            val conflict = OperatorClient.json.decodeFromString(OperatorProblem.serializer(), responses.first { it.status == 409 }.body)
            val accepted = plans[responses.indexOfFirst { it.status == 200 }]
            assertEquals("lost_race", conflict.title)
            assertEquals(accepted.id, conflict.winner?.plan)
            val revision = checkNotNull(conflict.winner?.revision).value
            awaitInForceEverywhere(revision)
        }
    }

    @Test
    fun `a resumed entry does not use the configuration from before its suspension`() {
        val apiKey = Deployments.OTHER_API_KEY
        val url = deployment.entryUrl(1) + "/v1/chat/completions"
        assertEquals(200, ApiClient(apiKey).post(url, CHAT_BODY).status)
        deployment.entries[1].pauseProcess()
        val pausedAt = System.nanoTime()
        val revision =
            try {
                // A process detects a suspension of more than two seconds; the propagation limit of a change covers shorter ones.
                changePolicy(OrganisationPolicy(emptyList(), Rank.URGENT), entries = listOf(0)).also {
                    Polling.until(2 * PAUSE_MS, { "suspension of $PAUSE_MS ms" }) { System.nanoTime() - pausedAt > PAUSE_MS * 1_000_000 }
                }
            } finally {
                deployment.entries[1].resumeProcess()
            }
        val first = ApiClient(apiKey).post(url, CHAT_BODY)
        assertTrue(first.status == 401 || first.status == 503, first.toString())
        awaitInForceEverywhere(revision)
        assertEquals(401, ApiClient(apiKey).post(url, CHAT_BODY).status)
    }

    @Test
    fun `an entry started during a log outage loads the configuration from a peer`() {
        val revision = alice.status(0).revision
        deployment.entries[1].kill()
        deployment.setStandInFaults("log", """{"outage":"REFUSE"}""")
        try {
            deployment.entries[1].start()
            deployment.awaitReady(1)
            assertEquals(revision, alice.status(1).revision)
            assertTrue(deployment.entries[1].logText().contains("KF-0202"), "the configuration was not loaded from a peer")
            assertEquals(200, ApiClient().post(deployment.entryUrl(1) + "/v1/chat/completions", CHAT_BODY).status)
        } finally {
            deployment.setStandInFaults("log", "{}")
        }
    }

    private fun confirmTogether(vararg confirmations: () -> OperatorResponse): List<OperatorResponse> {
        val pool = Executors.newFixedThreadPool(confirmations.size)
        val barrier = CyclicBarrier(confirmations.size)
        try {
            return confirmations
                .map { confirm ->
                    pool.submit(
                        Callable {
                            barrier.await()
                            confirm()
                        },
                    )
                }.map { it.get() }
        } finally {
            pool.shutdown()
        }
    }

    private fun changePolicy(
        policy: OrganisationPolicy,
        entries: List<Int> = listOf(0, 1),
    ): Long {
        val plan = alice.propose(0, Intent.SetOrganisation(OTHER_ORGANISATION, policy, force = true))
        val response = alice.confirm(0, plan)
        assertEquals(200, response.status, response.body)
        val revision = alice.status(0).revision.value
        entries.forEach { awaitInForceAtEntry(it, revision) }
        return revision
    }

    private fun replaceApiKey(text: String) =
        Intent.SetOrganisation(OTHER_ORGANISATION, OrganisationPolicy(listOf(Deployments.sha256(text)), Rank.URGENT), force = true)

    private fun awaitInForceEverywhere(revision: Long) {
        val entryMs = deployment.entries.indices.map { awaitInForceAtEntry(it, revision) }
        val sidecarMs =
            deployment.sidecars.values.map { sidecar ->
                Polling.until(IN_FORCE_LIMIT_MS, { "${sidecar.name}: ${sidecar.logText().takeLast(500)}" }) {
                    Regex("""KF-020[01].*revision=$revision\b""").containsMatchIn(sidecar.logText())
                }
            }
        println("revision $revision in force: entries $entryMs ms, sidecars $sidecarMs ms, each after the previous wait")
    }

    private fun awaitInForceAtEntry(
        entry: Int,
        revision: Long,
    ): Long =
        Polling.until(IN_FORCE_LIMIT_MS, { "entry-$entry at ${alice.status(entry)}" }) {
            alice.status(entry).let { it.ready && it.revision.value == revision }
        }

    private companion object {
        val OTHER_ORGANISATION = OrganisationId("school-sailing")
        val CHAT_BODY = ApiClient.chatBody("loaner-note", "text", 3)
        const val ROUNDS = 4
        const val PAUSE_MS = 3_000L

        /** Limit for a change to be in force at all entries and sidecars. */
        const val IN_FORCE_LIMIT_MS = 18_000L
    }
}
