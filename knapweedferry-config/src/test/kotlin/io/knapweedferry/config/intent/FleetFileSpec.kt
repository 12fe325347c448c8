package io.knapweedferry.config.intent

import arrow.core.getOrElse
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ModelName
import io.knapweedferry.api.OperationName
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Rank
import io.knapweedferry.api.ServiceName
import io.knapweedferry.api.WorkKind
import io.knapweedferry.config.state.ConfigState
import io.knapweedferry.config.state.EndpointAssignment
import io.knapweedferry.config.state.EndpointRole
import io.knapweedferry.config.state.ModelPolicy
import io.knapweedferry.config.state.OperationPolicy
import io.knapweedferry.config.state.OrganisationPolicy
import io.knapweedferry.config.state.RankPolicy
import io.knapweedferry.config.state.ServicePolicy
import io.knapweedferry.config.state.WorkPolicy
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Path
import kotlin.io.path.readText

/** Guards against parts of a fleet file being ignored or misread. */
internal class FleetFileSpec {
    private val text =
        """
        [models.review]
        version = "3"
        context_tokens = 32000
        [services.dock]
        rank = "urgent"
        [services.dock.operations.tag-stamp]
        repeatable = false
        timeout_ms = 500
        [services.dock.operations.locker_lookup]
        repeatable = true
        [work.inspection-review]
        model = "review"
        rank = "urgent"
        [ranks.urgent]
        first_token_target_ms = 500
        inter_token_target_ms = 25
        deadline_ms = 5000
        floor_percent = 40
        [organisations.harbor]
        api_key_sha256 = ["${"ab".repeat(32)}", "${"cd".repeat(32)}"]
        highest_rank = "urgent"
        models = ["review"]
        [endpoints."lowell.1"]
        role = "decode"
        model = "review"
        [endpoints.clerk-1]
        role = "service"
        service = "dock"
        draining = true
        """.trimIndent()

    @Test
    fun `reads every table of a fleet file`() {
        val review = ModelName("review")
        val operations =
            mapOf(
                OperationName("tag-stamp") to OperationPolicy(false, 500),
                OperationName("locker_lookup") to OperationPolicy(true),
            )
        val expected =
            ConfigState(
                models = mapOf(review to ModelPolicy("3", 32_000)),
                services = mapOf(ServiceName("dock") to ServicePolicy(operations, Rank.URGENT)),
                work = mapOf(WorkKind("inspection-review") to WorkPolicy(review, Rank.URGENT)),
                ranks = mapOf(Rank.URGENT to RankPolicy(500, 25, 5_000, 40)),
                organisations =
                    mapOf(
                        OrganisationId(
                            "harbor",
                        ) to OrganisationPolicy(listOf("ab".repeat(32), "cd".repeat(32)), Rank.URGENT, setOf(review)),
                    ),
                endpoints =
                    mapOf(
                        EndpointId("lowell.1") to EndpointAssignment(EndpointRole.DECODE, review),
                        EndpointId("clerk-1") to EndpointAssignment(EndpointRole.SERVICE, service = ServiceName("dock"), draining = true),
                    ),
            )
        assertEquals(expected, FleetFile.parse("fleet.toml", text).getOrElse { error(it.toString()) })
    }

    @Test
    fun `reads the example of the settings page`() {
        val page = Path.of("../docs/settings.md").readText()
        val example = page.substringAfter("```toml\n").substringBefore("```")
        assertEquals(
            2,
            FleetFile
                .parse("settings.md", example)
                .getOrElse { error(it.toString()) }
                .endpoints.size,
        )
    }

    @Test
    fun `problems name the key`() {
        val expectedKeys =
            mapOf(
                text.replace("role = \"decode\"", "role = \"decoder\"") to "endpoints.lowell.1.role",
                text.replace("[ranks.urgent]", "[ranks.vital]") to "ranks.vital",
                text.replace("floor_percent", "floorPercent") to "ranks.urgent.floorPercent",
                text.replace("version = \"3\"", "version = 3") to "models.review.version",
            )
        for ((invalidText, key) in expectedKeys) {
            val problems = FleetFile.parse("fleet.toml", invalidText).swap().getOrElse { error("accepted") }
            assertEquals(key, problems.first().key)
        }
    }
}
