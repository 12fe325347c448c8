package io.knapweedferry.testing.command

import io.knapweedferry.testing.fault.FaultProxy
import io.knapweedferry.testing.fault.RouteSettings
import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.default
import kotlinx.cli.multiple
import kotlinx.cli.required
import kotlinx.coroutines.runBlocking

/** Runs the fault proxy until the process is stopped. */
@OptIn(ExperimentalCli::class)
internal class ProxyCommand : Subcommand("proxy", "Forward TCP connections with switchable faults") {
    private val routes by option(
        ArgType.String,
        fullName = "route",
        description = "NAME=LISTEN_IP:PORT=TARGET_IP:PORT",
    ).required().multiple()
    private val adminHost by option(ArgType.String, fullName = "admin-host", description = "IP of the admin port").default("127.0.0.1")
    private val adminPort by option(ArgType.Int, fullName = "admin-port", description = "Admin port").required()
    private val seed by option(ArgType.Int, fullName = "seed", description = "Seed of random choices").default(1)

    override fun execute() {
        val proxy = FaultProxy(routes.map(RouteSettings::parse), adminHost, adminPort, seed.toLong())
        runBlocking { proxy.start() }
        Runtime.getRuntime().addShutdownHook(Thread(proxy::close))
        Ready.announceAndWait()
    }
}
