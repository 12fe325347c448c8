package io.knapweedferry.cli

import io.knapweedferry.cli.command.CliCommand
import io.knapweedferry.cli.command.ConfirmCommand
import io.knapweedferry.cli.command.EndpointsCommand
import io.knapweedferry.cli.command.ExplainCommands
import io.knapweedferry.cli.command.HistoryCommand
import io.knapweedferry.cli.command.IntentCommands
import io.knapweedferry.cli.command.PlanCommands
import io.knapweedferry.cli.command.StatusCommand
import kotlinx.cli.ArgParser
import java.io.PrintStream

/** The command-line client: parses the arguments, sends the request and prints the response. */
internal class OperatorProgram(
    private val output: PrintStream,
    private val errors: PrintStream,
) {
    /** Runs the command in [arguments]; errors are printed, not thrown. */
    fun run(arguments: Array<String>): ExitCode =
        try {
            execute(arguments)
        } catch (e: UsageException) {
            val stream = if (e.exitCode == ExitCode.OK) output else errors
            stream.println(e.message)
            e.exitCode
        }

    private fun execute(arguments: Array<String>): ExitCode {
        // Without strict order, a group answers --help of its subcommands; with it, global options cannot follow a command.
        val strictOrder = arguments.any { it == "--help" || it == "-h" }
        val parser = ArgParser("knapweedferry", strictSubcommandOptionsOrder = strictOrder)
        ParserExitHandler.install(parser)
        val options = GlobalOptions(parser)
        var selected: CliCommand? = null
        val select: (CliCommand) -> Unit = { selected = it }
        val intent = IntentCommands()
        val plan = PlanCommands()
        val explain = ExplainCommands()
        val status = StatusCommand(select)
        val endpoints = EndpointsCommand(select)
        parser.subcommands(status, endpoints, intent, plan, ConfirmCommand(select), HistoryCommand(select), explain)
        for (group in listOf(intent, plan, explain)) {
            group.strictSubcommandOptionsOrder = strictOrder
            group.addSubcommands(select)
        }
        parser.parse(arguments)
        val command = selected ?: throw UsageException("no command given; see knapweedferry --help")
        val request = command.request()
        val settings = options.settings()
        val token = if (request.api.needsToken) options.token(settings) else null
        val client = OperatorClient(settings.entries, token, settings.timeoutMs)
        return printResponse(client.send(request), request, settings.output)
    }

    private fun printResponse(
        response: OperatorResponse,
        request: OperatorRequest,
        format: OutputFormat,
    ): ExitCode =
        when (response) {
            is OperatorResponse.Success -> {
                output.println(if (format == OutputFormat.JSON) response.body else request.render(response.body).trimEnd())
                ExitCode.OK
            }

            is OperatorResponse.Refused -> {
                errors.println("${response.problem.title}: ${response.problem.detail}")
                ExitCode.REFUSED
            }

            is OperatorResponse.NoResponse -> {
                response.failures.forEach { errors.println(it) }
                errors.println(request.api.unreachableAdvice)
                ExitCode.UNREACHABLE
            }
        }
}
