package io.knapweedferry.config

import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.platform.instance.EndpointKind
import io.knapweedferry.platform.instance.ListedInstance
import kotlinx.serialization.json.Json
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.CsvSource
import org.junit.jupiter.params.provider.ValueSource
import java.nio.file.Path
import kotlin.io.path.listDirectoryEntries
import kotlin.io.path.name
import kotlin.io.path.readText

/** Guards against inconsistent example files, which would make the example deployments fail without a clear error. */
internal class ExampleDeploymentSpec {
    @ParameterizedTest
    @CsvSource("merrimack, 3, 13, 3", "ito, 3, 6, 4")
    fun `each deployment has the expected size, and its configuration and instance list contain the same endpoints`(
        deployment: String,
        entries: Int,
        engines: Int,
        services: Int,
    ) {
        val configuration = configurationOf(deployment)
        val listed = fleetOf(deployment).flatMap { it.endpoints }
        assertEquals(entries, settingsOf(deployment, "entry-").size)
        assertEquals(engines to services, listed.partition { it.kind == EndpointKind.ENGINE }.let { it.first.size to it.second.size })
        assertEquals(listed.map { it.endpoint }.toSet(), configuration.endpoints.keys)
        listed.forEach { endpoint ->
            val isService = configuration.endpoints.getValue(endpoint.endpoint).role == EndpointRole.SERVICE
            assertEquals(endpoint.kind == EndpointKind.SERVICE, isService)
        }
    }

    @ParameterizedTest
    @ValueSource(strings = ["merrimack", "ito"])
    fun `each listed instance has a settings file with the same zone, address and endpoint`(deployment: String) {
        val files = settingsOf(deployment, "sidecar-")
        val expected =
            fleetOf(
                deployment,
            ).map {
                listOf(
                    it.instance.value,
                    it.availabilityZone.value,
                    it.endpoints
                        .single()
                        .endpoint.value,
                )
            }
        val found = files.map { listOf(valueOf(it, "instance"), valueOf(it, "availability_zone"), endpointOf(it)) }
        assertEquals(expected.toSet(), found.toSet())
        assertEquals(fleetOf(deployment).map { it.sessionAddress }.toSet(), files.map { valueOf(it, "address") }.toSet())
    }

    @ParameterizedTest
    @ValueSource(strings = ["merrimack", "ito"])
    fun `configured models, services and ranks are exactly those in use`(deployment: String) {
        val configuration = configurationOf(deployment)
        val used = configuration.work.values.map { it.model } + configuration.endpoints.values.mapNotNull { it.model }
        assertEquals(configuration.models.keys, used.toSet())
        assertEquals(
            configuration.services.keys,
            configuration.endpoints.values
                .mapNotNull { it.service }
                .toSet(),
        )
        assertEquals(
            configuration.ranks.keys,
            configuration.work.values
                .map { it.rank }
                .toSet(),
        )
    }

    @ParameterizedTest
    @ValueSource(strings = ["address", "url"])
    fun `no two processes or endpoints share an address`(key: String) {
        val all = listOf("merrimack", "ito").flatMap { settingsOf(it, "") }.flatMap { valuesOf(it, key) }
        assertEquals(all.distinct(), all)
        assertEquals(emptyList<String>(), all.filterNot { it.removePrefix("http://").startsWith("127.0.0.1:") })
    }

    private fun configurationOf(deployment: String): ConfigState = Json.decodeFromString(read(deployment, "configuration.json"))

    private fun fleetOf(deployment: String): List<ListedInstance> = Json.decodeFromString(read(deployment, "fleet.json"))

    private fun read(
        deployment: String,
        file: String,
    ): String = directory(deployment).resolve(file).readText()

    private fun settingsOf(
        deployment: String,
        prefix: String,
    ): List<String> = directory(deployment).listDirectoryEntries("$prefix*.toml").sortedBy { it.name }.map { it.readText() }

    private fun directory(deployment: String): Path = Path.of("..", "examples", deployment)

    private fun endpointOf(settings: String): String = valueOf(settings.substringAfter("[[endpoint]]"), "id")

    private fun valueOf(
        settings: String,
        key: String,
    ): String = valuesOf(settings, key).first()

    private fun valuesOf(
        settings: String,
        key: String,
    ): List<String> = Regex("(?m)^$key = \"(.*)\"$").findAll(settings).map { it.groupValues[1] }.toList()
}
