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
    val operatorToken: Path = directory.resolve("operator-token")
    private val sessionKey: Path = directory.resolve("session-key")

    fun entry(index: Int): Path = directory.resolve("entry-$index.toml")

    fun sidecar(endpoint: String): Path = directory.resolve("sidecar-$endpoint.toml")

    /** Writes all files; [urlOf] returns the base URL of a stand-in by its name. */
    fun write(urlOf: (String) -> String) {
        Files.createDirectories(directory)
        sessionKey.writeText("local-deployment-session-key-0123456789")
        operatorToken.writeText(Deployments.OPERATOR_TOKEN)
        repeat(plan.entries) { entry(it).writeText(entryText(it, urlOf)) }
        layout.endpointNames.forEach { sidecar(it).writeText(sidecarText(it, urlOf)) }
    }

    private fun entryText(
        index: Int,
        urlOf: (String) -> String,
    ): String {
        val sections =
            mapOf(
                "process" to listOf(text("id", "entry-$index"), text("availability_zone", zone(index))),
                "http" to listOf(text("address", layout.entryAddress(index))),
                "session" to listOf(text("key_file", sessionKey.toString())),
                "platform" to platform(urlOf),
            )
        val operators =
            listOf("alice" to Deployments.OPERATOR_TOKEN, "bob" to Deployments.OTHER_OPERATOR_TOKEN).joinToString("\n") { (name, token) ->
                "[[operator]]\n${text("name", name)}\n${text("token_sha256", Deployments.sha256(token))}\n"
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
                text("id", "sidecar-$endpoint"),
                text("availability_zone", layout.zoneOf(endpoint)),
                text("instance", "instance-$endpoint"),
            )
        val sections =
            mapOf(
                "process" to process,
                "session" to listOf(text("address", layout.sidecarAddress(endpoint)), text("key_file", sessionKey.toString())),
                "platform" to platform(urlOf),
            )
        val kind = if (engine == null) "service" else "engine"
        val limits = engine?.let { "slots = ${it.slots}\npieces = ${it.kvBlocks}\nchecks_fencing = ${it.checksFencing}\n" }.orEmpty()
        val block = "[[endpoint]]\n${text("id", endpoint)}\n${text("kind", kind)}\n${text("url", urlOf(endpoint))}\n$limits"
        return render(sections, plan.sidecarSettings) + block
    }

    private fun platform(urlOf: (String) -> String) =
        listOf(
            text("log_url", urlOf("log")),
            text("instance_list_url", urlOf("instance_list")),
            text("weight_store_url", urlOf("weight_store")),
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

    private fun text(
        key: String,
        value: String,
    ) = "$key = \"$value\""

    private fun zone(index: Int) = plan.availabilityZones[index % plan.availabilityZones.size]
}
