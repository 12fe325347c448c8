package io.knapweedferry.it.config

import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.it.Caller
import io.knapweedferry.it.Daemons
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
 * Guards against two accepted changes on one base, entries that disagree about the winner, a revision that goes down, and
 * old configuration that a process acts on after a freeze or a restart.
 */
@TestInstance(Lifecycle.PER_CLASS)
@TestMethodOrder(MethodOrderer.MethodName::class)
internal class ConfigurationSpec {
    private lateinit var deployment: LocalDeployment
    private lateinit var watch: RevisionWatch
    private val alice by lazy { Operator(deployment, Deployments.OPERATOR_TOKEN) }
    private val bob by lazy { Operator(deployment, Deployments.OTHER_OPERATOR_TOKEN) }

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        val plan = Deployments.small()
        println("seed ${plan.seed}")
        deployment = LocalDeployment(plan, folder, Daemons.classPath)
        deployment.start()
        watch = RevisionWatch(deployment)
    }

    @AfterAll
    fun stop() {
        watch.close()
        deployment.close()
        assertTrue(watch.polls > 0)
        assertEquals(emptyList<String>(), watch.regressions)
    }

    @Test
    fun `of two racing operators one wins and the other learns which change came first`() {
        repeat(ROUNDS) { round ->
            // Three of ten answers are lost after the append took effect, so both confirmations also meet that case.
            deployment.standInFaults("log", """{"lostAnswerProbability":${if (round % 2 == 1) 0.3 else 0.0}}""")
            val plans = listOf(alice.propose(0, keys("alice-$round")), bob.propose(1, keys("bob-$round")))
            assertEquals(plans[0].plan.base, plans[1].plan.base, "the plans do not race")
            val replies = confirmTogether({ alice.confirm(0, plans[0]) }, { bob.confirm(1, plans[1]) })
            deployment.standInFaults("log", "{}")
            assertEquals(listOf(200, 409), replies.map { it.status }.sorted(), replies.toString())
            val loser = Operator.json.decodeFromString(OperatorProblem.serializer(), replies.first { it.status == 409 }.body)
            val winner = plans[replies.indexOfFirst { it.status == 200 }]
            assertEquals("lost_race", loser.title)
            assertEquals(winner.id, loser.winner?.plan)
            val revision = checkNotNull(loser.winner?.revision).value
            awaitEverywhere(revision)
        }
    }

    @Test
    fun `a frozen entry does not act on the configuration of before the freeze`() {
        val organisation = Deployments.OTHER_API_KEY
        val url = deployment.entryUrl(1) + "/v1/chat/completions"
        assertEquals(200, Caller(organisation).post(url, CHAT).status)
        deployment.entries[1].freeze()
        val frozenAt = System.nanoTime()
        val revision =
            try {
                // A process counts as frozen after a gap of two seconds; a shorter one is within the bound of a change.
                change(OrganisationPolicy(emptyList(), Rank.URGENT), entries = listOf(0)).also {
                    Waiting.until(2 * FREEZE_MS, { "freeze" }) { System.nanoTime() - frozenAt > FREEZE_MS * 1_000_000 }
                }
            } finally {
                deployment.entries[1].thaw()
            }
        val first = Caller(organisation).post(url, CHAT)
        assertTrue(first.status == 401 || first.status == 503, first.toString())
        awaitEverywhere(revision)
        assertEquals(401, Caller(organisation).post(url, CHAT).status)
    }

    @Test
    fun `an entry that starts while the log is down takes the configuration from a peer`() {
        val revision = alice.status(0).revision
        deployment.entries[1].kill()
        deployment.standInFaults("log", """{"outage":"REFUSE"}""")
        try {
            deployment.entries[1].start()
            deployment.awaitReady(1)
            assertEquals(revision, alice.status(1).revision)
            assertTrue(deployment.entries[1].logText().contains("KF-0202"), "the configuration came from elsewhere")
            assertEquals(200, Caller().post(deployment.entryUrl(1) + "/v1/chat/completions", CHAT).status)
        } finally {
            deployment.standInFaults("log", "{}")
        }
    }

    private fun confirmTogether(vararg confirmations: () -> OperatorReply): List<OperatorReply> {
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

    private fun change(
        policy: OrganisationPolicy,
        entries: List<Int> = listOf(0, 1),
    ): Long {
        val plan = alice.propose(0, Intent.SetOrganisation(OTHER, policy, force = true))
        val reply = alice.confirm(0, plan)
        assertEquals(200, reply.status, reply.body)
        val revision = alice.status(0).revision.value
        entries.forEach { awaitEntry(it, revision) }
        return revision
    }

    private fun keys(text: String) =
        Intent.SetOrganisation(OTHER, OrganisationPolicy(listOf(Deployments.sha256(text)), Rank.URGENT), force = true)

    private fun awaitEverywhere(revision: Long) {
        val entryMs = deployment.entries.indices.map { awaitEntry(it, revision) }
        val sidecarMs =
            deployment.sidecars.values.map { sidecar ->
                Waiting.until(IN_FORCE_MS, { "${sidecar.name}: ${sidecar.logText().takeLast(500)}" }) {
                    Regex("""KF-020[01].*revision=$revision\b""").containsMatchIn(sidecar.logText())
                }
            }
        println("revision $revision in force: entries $entryMs ms, sidecars $sidecarMs ms, waited for in turn after the answer")
    }

    private fun awaitEntry(
        entry: Int,
        revision: Long,
    ): Long =
        Waiting.until(IN_FORCE_MS, { "entry-$entry at ${alice.status(entry)}" }) {
            alice.status(entry).let { it.ready && it.revision.value == revision }
        }

    private companion object {
        val OTHER = OrganisationId("school-sailing")
        val CHAT = Caller.chat("loaner-note", "text", 3)
        const val ROUNDS = 4
        const val FREEZE_MS = 3_000L

        /** Time in which a change must be in force everywhere. */
        const val IN_FORCE_MS = 18_000L
    }
}
