package io.knapweedferry.testing.load

import kotlinx.cli.ArgType
import kotlinx.cli.ExperimentalCli
import kotlinx.cli.Subcommand
import kotlinx.cli.multiple
import java.nio.file.Files
import java.nio.file.Path

/** Runs the load driver. Prints a table, then the report as one line of JSON. */
@OptIn(ExperimentalCli::class)
public class LoadCommand : Subcommand("load", "Offer the load of a scenario to running entries and measure the answers") {
    private val scenarioFile by argument(ArgType.String, "scenario", "TOML file with the scenario")
    private val seed by option(ArgType.Int, "seed", description = "Seed instead of the one in the scenario")
    private val entries by option(
        ArgType.String,
        "entry",
        description = "Entry URL instead of those in the scenario; may be repeated",
    ).multiple()
    private val jsonFile by option(ArgType.String, "json", description = "File to write the report to as well")

    override fun execute() {
        val scenario = LoadScenario.parse(Files.readString(Path.of(scenarioFile)))
        val report =
            LoadRun(
                scenario.copy(
                    seed = seed?.toLong() ?: scenario.seed,
                    entries = entries.ifEmpty { scenario.entries },
                ),
            ).run()
        print(LoadTable.render(report))
        println(report.toJson())
        jsonFile?.let { Files.writeString(Path.of(it), report.toJson() + "\n") }
    }
}
