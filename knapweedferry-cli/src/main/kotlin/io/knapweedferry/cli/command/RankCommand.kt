package io.knapweedferry.cli.command

import io.knapweedferry.api.Rank
import io.knapweedferry.config.intent.Intent
import io.knapweedferry.config.state.RankPolicy
import kotlinx.cli.ArgType
import kotlinx.cli.required

/** `intent rank RANK`. */
internal class RankCommand(
    select: (CliCommand) -> Unit,
) : IntentCommand("rank", "Set the latency targets and the minimum capacity share of a rank", select) {
    private val rank by argument(ArgType.Choice<Rank>(), "rank", "Rank to change")
    private val firstTokenMs by option(ArgType.Int, "first-token-ms", description = "Target time to first token in ms").required()
    private val interTokenMs by option(ArgType.Int, "inter-token-ms", description = "Target time between tokens in ms").required()
    private val deadlineMs by option(ArgType.Int, "deadline-ms", description = "Default request deadline in ms").required()
    private val floorPercent by option(ArgType.Int, "floor-percent", description = "Percentage of capacity kept for the rank").required()

    override fun intent(): Intent {
        val policy = RankPolicy(firstTokenMs.toLong(), interTokenMs.toLong(), deadlineMs.toLong(), floorPercent)
        return Intent.SetRank(rank, policy, force)
    }
}
