package io.knapweedferry.testing.command

import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import java.nio.file.Files

/** Runs a deployment with its stand-ins until the process is stopped. */
@OptIn(ExperimentalCli::class)
internal class ServeCommand : Subcommand("serve", "Run a deployment until it is stopped") {
    /** Deployments to choose from. */
    internal enum class Kind { SMALL, MERRIMACK, ITO }

    private val kind by option(ArgType.Choice<Kind>(), "deployment", description = "which deployment").default(Kind.SMALL)

    override fun execute() {
        val plan =
            when (kind) {
                Kind.SMALL -> Deployments.small()
                Kind.MERRIMACK -> Deployments.merrimack()
                Kind.ITO -> Deployments.ito()
            }
        val folder = Files.createTempDirectory("knapweedferry-serve")
        val deployment = LocalDeployment(plan, folder)
        Runtime.getRuntime().addShutdownHook(Thread(deployment::close))
        deployment.start()
        deployment.entries.indices.forEach { println("entry ${deployment.entryUrl(it)}") }
        println("caller key ${Deployments.API_KEY}, operator token file ${deployment.operatorTokenFile}, logs in $folder")
        println("ready")
        System.out.flush()
        Thread.currentThread().join()
    }
}
