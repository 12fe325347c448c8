package io.knapweedferry.it

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import org.junit.jupiter.api.AfterAll
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.BeforeAll
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.TestInstance.Lifecycle
import org.junit.jupiter.api.io.TempDir
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import java.nio.file.Path

/** Guards against failures on the path from entry to engine, and against invalid input that is accepted or keeps resources. */
@TestInstance(Lifecycle.PER_CLASS)
internal class WholePathSpec {
    private lateinit var deployment: LocalDeployment
    private val client = ApiClient()

    @BeforeAll
    fun start(
        @TempDir folder: Path,
    ) {
        deployment = LocalDeployment(Deployments.small(), folder, DaemonLibraries.classPath)
        deployment.start()
    }

    @AfterAll
    fun stop() {
        deployment.close()
    }

    @ParameterizedTest(name = "{0} with stream {1} through entry {2}")
    @CsvSource("fleet-inspection,false,0", "fleet-inspection,true,1", "loaner-note,true,0")
    fun `a model request gets its complete answer`(
        workKind: String,
        stream: Boolean,
        entry: Int,
    ) {
        val response = client.post(url(entry, "/v1/chat/completions"), ApiClient.chatBody(workKind, "history", 9, stream))
        assertEquals(200, response.status, response.body)
        if (stream) {
            assertEquals(
                "data: [DONE]",
                response.body
                    .trim()
                    .lines()
                    .last(),
            )
            assertEquals(9, response.body.lines().count { it.startsWith("id: ") })
        } else {
            assertEquals(true, response.body.contains("\"completion_tokens\":9"), response.body)
        }
    }

    @ParameterizedTest(name = "{0} gives {1} {2}")
    @CsvSource(
        delimiter = '|',
        value = [
            "{                                                                          | 400 | malformed_request",
            "{\"messages\":[]}                                                          | 400 | malformed_request",
            "{\"model\":\"none\",\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]}   | 404 | unknown_model",
            "{\"messages\":[{\"role\":\"user\",\"content\":\"x\"}],\"metadata\":{\"work\":\"none\"}} | 400 | unknown_work",
            "{\"model\":\"harbor-review\",$MESSAGES,\"metadata\":{\"rank\":\"top\"}}     | 400 | unknown_rank",
            "{\"model\":\"harbor-review\",$MESSAGES,\"max_tokens\":1000000}             | 413 | prompt_too_long",
        ],
    )
    fun `invalid input is rejected with its error code`(
        body: String,
        status: Int,
        code: String,
    ) {
        val response = client.post(url(0, "/v1/chat/completions"), body)
        assertEquals(status, response.status, response.body)
        assertEquals(true, response.body.contains("\"code\":\"$code\""), response.body)
        assertEquals(true, response.body.contains("\"outcome\":\"not_run\""), response.body)
    }

    @ParameterizedTest(name = "key {0} gives {1}")
    @CsvSource("wrong-key,401", "'',401")
    fun `requests with an unknown API key are rejected`(
        key: String,
        status: Int,
    ) {
        val response = ApiClient(key).post(url(0, "/v1/chat/completions"), ApiClient.chatBody("loaner-note", "x", 1))
        assertEquals(status, response.status)
    }

    private fun url(
        entry: Int,
        path: String,
    ): String = deployment.entryUrl(entry) + path

    private companion object {
        const val MESSAGES = "\"messages\":[{\"role\":\"user\",\"content\":\"x\"}]"
    }
}
