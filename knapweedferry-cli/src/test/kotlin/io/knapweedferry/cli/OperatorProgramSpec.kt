package io.knapweedferry.cli

import com.sun.net.httpserver.HttpServer
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperatorName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.PlanId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.Revision
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.intent.Change
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.intent.Plan
import io.knapweedferry.config.report.ConfirmReport
import io.knapweedferry.config.report.OperatorProblem
import io.knapweedferry.config.report.PlanReport
import io.knapweedferry.config.report.PlanStatus
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.WorkPolicy
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.BeforeEach
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import org.junit.jupiter.api.io.TempDir
import java.io.ByteArrayOutputStream
import java.io.PrintStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.nio.file.Path
import java.util.concurrent.CopyOnWriteArrayList
import kotlin.io.path.writeText

/** Guards against wrong exit codes, commands that send the wrong request, and an unresponsive entry that blocks the others. */
internal class OperatorProgramSpec {
    @TempDir
    private lateinit var directory: Path

    private val servers = mutableListOf<HttpServer>()
    private val receivedRequests = CopyOnWriteArrayList<Pair<String, String>>()
    private lateinit var token: String

    private class Result(
        val exit: ExitCode,
        val output: String,
        val errors: String,
    )

    private val planReport =
        PlanReport(
            PlanId(4),
            PlanStatus.PENDING,
            OperatorName("hana"),
            0,
            Plan(
                Revision(2),
                "drain d1",
                listOf(Change.Endpoint(EndpointId("d1"), EndpointAssignment(EndpointRole.DECODE, ModelName("m")))),
            ),
        )

    @BeforeEach
    fun writeToken() {
        token = directory.resolve("token").apply { writeText("secret-token\n") }.toString()
    }

    @AfterEach
    fun stop() = servers.forEach { it.stop(0) }

    private fun startEntry(
        status: Int,
        body: String,
    ): String {
        val server = HttpServer.create(InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 0)
        server.createContext("/v1/operator/") { exchange ->
            val authenticated = exchange.requestHeaders.getFirst("Authorization") == "Bearer secret-token"
            val text = exchange.requestBody.readBytes().decodeToString()
            receivedRequests += "${exchange.requestMethod} ${exchange.requestURI.path.removePrefix("/v1/operator/")}" to text
            val responseBody = body.encodeToByteArray()
            exchange.sendResponseHeaders(if (authenticated) status else 401, responseBody.size.toLong())
            exchange.responseBody.use { it.write(responseBody) }
        }
        server.start()
        servers += server
        return "http://127.0.0.1:${server.address.port}"
    }

    private fun problem(status: Int) = Json.encodeToString(OperatorProblem.of("some_code", status, "the detail; the remedy"))

    private fun run(vararg arguments: String): Result {
        val output = ByteArrayOutputStream()
        val errors = ByteArrayOutputStream()
        val exit = OperatorProgram(PrintStream(output), PrintStream(errors)).run(arrayOf(*arguments))
        return Result(exit, output.toString(), errors.toString())
    }

    private fun runAgainst(
        url: String,
        vararg arguments: String,
    ): Result = run("--entry", url, "--token-file", token, *arguments)

    @TestFactory
    fun `invalid command lines exit with the usage code`(): List<DynamicTest> {
        val cases =
            listOf(
                "",
                "unheard-of",
                "status --unheard-of",
                "status",
                "--entry http://127.0.0.1:1 status",
                "--entry nowhere --token-file $token status",
                "--entry http://127.0.0.1:1 --token-file absent status",
                "--entry http://127.0.0.1:1 --token-file $token --timeout-ms 5 status",
                "--config absent.toml status",
                "intent",
                "plan",
                "plan show x",
                "confirm",
                "confirm -4",
                "intent assign e",
                "intent assign e --role captain",
                "intent apply --file absent.toml",
            )
        return cases.map { line ->
            dynamicTest(line.ifEmpty { "nothing" }) {
                val result = run(*line.split(" ").filter { it.isNotEmpty() }.toTypedArray())
                assertEquals(ExitCode.USAGE to "", result.exit to result.output, result.errors)
                assertTrue(result.errors.isNotBlank())
            }
        }
    }

    @Test
    fun `help is printed with the exit codes`() {
        for ((line, usage) in mapOf("--help" to "", "intent --help" to " intent", "intent assign --help" to " intent assign")) {
            val result = run(*line.split(" ").toTypedArray())
            assertEquals(ExitCode.OK, result.exit, result.errors)
            assertTrue(result.output.contains("Usage: knapweedferry$usage options_list") && result.output.contains("3 - "), result.output)
        }
    }

    @TestFactory
    fun `each intent command sends its intent`(): List<DynamicTest> {
        val fleet = directory.resolve("fleet.toml").apply { writeText("[models.m]\nversion = \"1\"\ncontext_tokens = 100\n") }
        val model = ModelName("m")
        val hash = "ab".repeat(32)
        val cases =
            mapOf(
                "apply --file $fleet" to Intent.ApplyFleet(ConfigState(models = mapOf(model to ModelPolicy("1", 100)))),
                "assign e --role decode --model m --force" to
                    Intent.AssignEndpoint(EndpointId("e"), EndpointAssignment(EndpointRole.DECODE, model), force = true),
                "assign e --role service --service dock" to
                    Intent.AssignEndpoint(EndpointId("e"), EndpointAssignment(EndpointRole.SERVICE, service = ServiceName("dock"))),
                "drain e" to Intent.DrainEndpoint(EndpointId("e")),
                "remove e --force" to Intent.RemoveEndpoint(EndpointId("e"), force = true),
                "work w --model m --rank urgent" to Intent.SetWork(WorkKind("w"), WorkPolicy(model, Rank.URGENT)),
                "rank urgent --first-token-ms 1 --inter-token-ms 2 --deadline-ms 3 --floor-percent 4" to
                    Intent.SetRank(Rank.URGENT, RankPolicy(1, 2, 3, 4)),
                "organisation o --key-sha256 $hash --highest-rank standard --model m" to
                    Intent.SetOrganisation(OrganisationId("o"), OrganisationPolicy(listOf(hash), Rank.STANDARD, setOf(model))),
                "model m --version 2" to Intent.SetModelVersion(model, "2"),
            )
        val url = startEntry(201, Json.encodeToString(planReport))
        return cases.map { (line, intent) ->
            dynamicTest(line) {
                val result = runAgainst(url, "intent", *line.split(" ").toTypedArray())
                assertEquals(ExitCode.OK, result.exit, result.errors)
                val (path, body) = receivedRequests.last()
                assertEquals("POST intents" to intent, path to Json.decodeFromString(Intent.serializer(), body))
                assertTrue(result.output.contains("knapweedferry confirm 4"), result.output)
            }
        }
    }

    @TestFactory
    fun `the response status of the entry determines the exit code`(): List<DynamicTest> {
        val codes = mapOf(400 to 1, 401 to 1, 404 to 1, 409 to 1, 422 to 1, 500 to 3, 503 to 3)
        return codes.map { (status, exit) ->
            dynamicTest("$status") {
                val result = runAgainst(startEntry(status, problem(status)), "confirm", "4")
                assertEquals(exit, result.exit.code)
                assertTrue(result.errors.contains("the remedy"), result.errors)
                assertEquals("POST plans/4/confirm", receivedRequests.last().first)
            }
        }
    }

    @Test
    fun `entries are tried in order, and an unresponsive entry leaves time for the next one`() {
        ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { hanging ->
            val freePort = ServerSocket(0, 1, InetAddress.getLoopbackAddress()).use { it.localPort }
            val healthy = startEntry(200, Json.encodeToString(ConfirmReport(PlanId(4), Revision(5), "drain d1", false)))
            val urls = listOf("http://127.0.0.1:$freePort", "http://127.0.0.1:${hanging.localPort}", startEntry(503, problem(503)), healthy)
            val file = directory.resolve("cli.toml")
            file.writeText("entries = [${urls.joinToString { "\"$it\"" }}]\ntoken_file = \"$token\"\ntimeout_ms = 4000\n")
            val result = run("--config", file.toString(), "confirm", "4")
            assertEquals(ExitCode.OK, result.exit, result.errors)
            assertTrue(result.output.contains("revision 5"), result.output)
            val failed = run("--config", file.toString(), "--entry", urls[0], "--entry", urls[1], "--timeout-ms", "600", "confirm", "4")
            assertEquals(ExitCode.UNREACHABLE, failed.exit)
            assertFalse((failed.output + failed.errors).contains("secret-token"))
        }
    }

    @Test
    fun `json output is the unmodified response body, and global options may follow the command`() {
        val body = Json.encodeToString(planReport)
        val result = run("plan", "show", "4", "--output", "json", "--entry", startEntry(200, body), "--token-file", token)
        assertEquals(ExitCode.OK to body, result.exit to result.output.trim(), result.errors)
        val table = runAgainst(startEntry(200, body), "plan", "show", "4").output
        assertTrue(table.contains("drain d1") && table.contains("role=DECODE model=m") && !table.contains("null"), table)
    }
}
