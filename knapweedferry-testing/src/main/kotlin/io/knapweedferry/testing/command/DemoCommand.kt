package io.knapweedferry.testing.command

import io.knapweedferry.testing.demo.Demo
import io.knapweedferry.testing.deploy.Deployments
import io.knapweedferry.testing.deploy.LocalDeployment
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import java.nio.file.Files

/** Runs the demo on loopback and stops all its processes at the end. */
@OptIn(ExperimentalCli::class)
internal class DemoCommand : Subcommand("demo", "Run a small deployment and send one request of each kind through it") {
    override fun execute() {
        val folder = Files.createTempDirectory("knapweedferry-demo")
        LocalDeployment(Deployments.small(), folder).use { Demo(it, folder).run() }
    }
}
