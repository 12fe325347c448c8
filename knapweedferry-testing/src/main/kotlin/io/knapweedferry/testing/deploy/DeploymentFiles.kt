package io.knapweedferry.testing.deploy

import java.nio.file.Files
import java.nio.file.Path
import kotlin.io.path.writeText

/** Settings, key and token files of the daemons of a deployment. */
internal class DeploymentFiles(
    private val plan: DeploymentPlan,
    private val layout: DeploymentLayout,
    private val directory: Path,
) {
    val operatorTokenFile: Path = directory.resolve("operator-token")
    private val sessionKeyFile: Path = directory.resolve("session-key")

    fun entrySettings(index: Int): Path = directory.resolve("entry-$index.toml")

    fun sidecarSettings(endpoint: String): Path = directory.resolve("sidecar-$endpoint.toml")

    /** Writes all files; [urlOf] returns the base URL of a stand-in by its name. */
    fun write(urlOf: (String) -> String) {
        Files.createDirectories(directory)
        sessionKeyFile.writeText("local-deployment-session-key-0123456789")
        operatorTokenFile.writeText(Deployments.OPERATOR_TOKEN)
        repeat(plan.entryCount) { entrySettings(it).writeText(entryText(it, urlOf)) }
        layout.endpointNames.forEach { sidecarSettings(it).writeText(sidecarText(it, urlOf)) }
    }

    private fun entryText(
        index: Int,
        urlOf: (String) -> String,
    ): String {
        val sections =
            mapOf(
                "process" to listOf(setting("id", "entry-$index"), setting("availability_zone", zoneOfEntry(index))),
                "http" to listOf(setting("address", layout.entryAddress(index))),
                "session" to listOf(setting("key_file", sessionKeyFile.toString())),
                "platform" to platformLines(urlOf),
            )
        val operators =
            listOf("alice" to Deployments.OPERATOR_TOKEN, "bob" to Deployments.OTHER_OPERATOR_TOKEN).joinToString("\n") { (name, token) ->
                "[[operator]]\n${setting("name", name)}\n${setting("token_sha256", Deployments.sha256(token))}\n"
            }
        return render(sections, plan.entrySettings) + operators
    }

    private fun sidecarText(
        endpoint: String,
        urlOf: (String) -> String,
    ): String {
        val engine = plan.engines.firstOrNull { it.name == endpoint }
        val process =
            listOf(
                setting("id", "sidecar-$endpoint"),
                setting("availability_zone", layout.zoneOf(endpoint)),
                setting("instance", "instance-$endpoint"),
            )
        val sections =
            mapOf(
                "process" to process,
                "session" to listOf(setting("address", layout.sidecarAddress(endpoint)), setting("key_file", sessionKeyFile.toString())),
                "platform" to platformLines(urlOf),
            )
        val kind = if (engine == null) "service" else "engine"
        val limits = engine?.let { "slots = ${it.slots}\npieces = ${it.kvBlocks}\nchecks_fencing = ${it.checksFencing}\n" }.orEmpty()
        val section = "[[endpoint]]\n${setting("id", endpoint)}\n${setting("kind", kind)}\n${setting("url", urlOf(endpoint))}\n$limits"
        return render(sections, plan.sidecarSettings) + section
    }

    private fun platformLines(urlOf: (String) -> String) =
        listOf(
            setting("log_url", urlOf("log")),
            setting("instance_list_url", urlOf("instance_list")),
            setting("weight_store_url", urlOf("weight_store")),
            "instance_poll_ms = 200",
        )

    private fun render(
        sections: Map<String, List<String>>,
        additional: Map<String, List<String>>,
    ): String =
        (sections.keys + additional.keys).joinToString("\n") { name ->
            val lines = sections[name].orEmpty() + additional[name].orEmpty()
            "[$name]\n" + lines.joinToString("\n", postfix = "\n")
        } + "\n"

    private fun setting(
        key: String,
        value: String,
    ) = "$key = \"$value\""

    private fun zoneOfEntry(index: Int) = plan.availabilityZones[index % plan.availabilityZones.size]
}
