package io.knapweedferry.routing.fleet

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.EndpointNotice
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.telemetry.AvailabilityChange
import io.knapweedferry.telemetry.EventLog
import io.knapweedferry.telemetry.RoutingMetrics
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetSocketAddress
import kotlin.random.Random
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TestTimeSource

/** Guards against requests to endpoints that said that they leave or want none for a time. */
internal class EndpointAvailabilitySpec {
    private val time = TestTimeSource()
    private val lines = mutableListOf<String>()
    private val metrics = RoutingMetrics(emptyList(), emptyList(), emptyList())
    private val availability = EndpointAvailability(EventLog(sink = { _, line -> lines += line }), metrics, time, Random(1))

    private fun endpoint(
        id: String = "e",
        startedAtMs: Long = 1,
    ) = RoutedEndpoint(
        EndpointId(id),
        ServiceName("s"),
        InetSocketAddress("127.0.0.1", 1),
        AvailabilityZone("z"),
        1,
        false,
        null,
        startedAtMs,
    )

    private fun pause(ms: Long) = availability.record(endpoint(), 503, EndpointNotice(pauseMs = ms))

    /** Notices of endpoint "e" in its first incarnation, and the time after which it accepts requests again. */
    enum class Case(
        val acceptsAfterMs: LongRange?,
        val notices: EndpointAvailabilitySpec.() -> Unit,
    ) {
        NOTHING(0L..0L, { availability.record(endpoint(), 200, EndpointNotice.NONE) }),
        PAUSE(1_000L..1_151L, { pause(1_000) }),
        SHORT_PAUSE(1L..52L, { pause(1) }),
        LONGER_PAUSE_LATER(3_000L..3_351L, { pause(1_000).also { pause(3_000) } }),
        SHORTER_PAUSE_LATER(3_000L..3_351L, { pause(3_000).also { pause(1_000) } }),
        SUCCESS_WITHIN_A_PAUSE(1_000L..1_151L, { pause(1_000).also { availability.record(endpoint(), 200, EndpointNotice.NONE) } }),
        UNREADABLE_PAUSE(0L..0L, { availability.record(endpoint(), 503, EndpointNotice(invalidPause = "soon")) }),
        LEAVING(null, { availability.record(endpoint(), 200, EndpointNotice(isLeaving = true)) }),
        LEAVING_AND_PAUSED(null, { availability.record(endpoint(), 503, EndpointNotice(isLeaving = true, pauseMs = 10)) }),
        LEAVING_AND_THEN_NOT(
            null,
            {
                availability.record(endpoint(), 200, EndpointNotice(isLeaving = true))
                availability.record(endpoint(), 200, EndpointNotice.NONE)
            },
        ),
        OTHER_ENDPOINT(0L..0L, { availability.record(endpoint("f"), 503, EndpointNotice(isLeaving = true, pauseMs = 1_000)) }),
        OTHER_INCARNATION(0L..0L, { availability.record(endpoint(startedAtMs = 2), 503, EndpointNotice(isLeaving = true)) }),
    }

    @ParameterizedTest
    @EnumSource(Case::class)
    fun `an endpoint that leaves accepts nothing, and one that pauses accepts nothing until the end of its pause`(case: Case) {
        case.notices(this)
        val acceptedAfterMs = (0L..LONGEST_MS).firstOrNull { availability.accepts(endpoint()).also { _ -> time += 1.milliseconds } }
        assertTrue(
            if (case.acceptsAfterMs ==
                null
            ) {
                acceptedAfterMs == null
            } else {
                acceptedAfterMs in case.acceptsAfterMs
            },
        ) { "$acceptedAfterMs" }
    }

    /** Process of the endpoint that speaks after the marked one, which was started at 1. */
    enum class OtherIncarnation(
        val startedAtMs: Long,
    ) {
        EARLIER(0),
        LATER(2),
    }

    /** Guards against a mark that is lost because two processes of an endpoint respond in turn. */
    @ParameterizedTest
    @EnumSource(OtherIncarnation::class)
    fun `a mark stays when another process of the endpoint speaks`(other: OtherIncarnation) {
        availability.record(endpoint(), 200, EndpointNotice(isLeaving = true))
        availability.record(endpoint(startedAtMs = other.startedAtMs), 503, EndpointNotice(pauseMs = 10))
        assertTrue(availability.isLeaving(endpoint()))
    }

    @Test
    fun `instances return at different times`() {
        val remaining =
            List(20) { seed ->
                EndpointAvailability(EventLog(sink = { _, _ -> }), metrics, time, Random(seed))
                    .apply { record(endpoint(), 503, EndpointNotice(pauseMs = 5_000)) }
                    .remainingPauseMs(endpoint())
            }
        assertTrue(remaining.all { it in 5_000L..5_550L } && remaining.distinct().size > 10) { "$remaining" }
    }

    @Test
    fun `each mark is logged once, and the end of a pause`() {
        repeat(3) { pause(1_000) }
        repeat(3) { availability.record(endpoint(), 503, EndpointNotice(isLeaving = true, invalidPause = "x")) }
        time += 2_000.milliseconds
        repeat(3) { availability.remainingPauseMs(endpoint()) }
        assertEquals(4, lines.size, "$lines")
    }

    /** Changes that [notices] make, and how often each is counted; `-` stands for the time until all pauses have ended. */
    enum class Counted(
        val notices: String,
        val change: AvailabilityChange,
        val count: Int,
    ) {
        LEAVING_TWICE("leaving leaving", AvailabilityChange.LEAVING, 1),
        PAUSE_TWICE("1000 - 1000", AvailabilityChange.PAUSED, 2),
        PAUSE_WITHIN_A_PAUSE("3000 1000", AvailabilityChange.PAUSED, 1),
        LONGER_PAUSE("1000 3000", AvailabilityChange.PAUSE_EXTENDED, 1),
        SHORTER_PAUSE("3000 1000", AvailabilityChange.PAUSE_EXTENDED, 0),
        END_OF_EACH_PAUSE("1000 - 1000 3000 -", AvailabilityChange.PAUSE_ENDED, 2),
        PAUSE_THAT_GOES_ON("1000", AvailabilityChange.PAUSE_ENDED, 0),
        EACH_UNREADABLE_PAUSE("soon soon", AvailabilityChange.PAUSE_INVALID, 2),
    }

    @ParameterizedTest
    @EnumSource(Counted::class)
    fun `changes of availability are counted`(case: Counted) {
        case.notices.split(" ").forEach { notice ->
            when (notice) {
                "-" -> time += LONGEST_MS.milliseconds
                "leaving" -> availability.record(endpoint(), 200, EndpointNotice(isLeaving = true))
                "soon" -> availability.record(endpoint(), 503, EndpointNotice(invalidPause = notice))
                else -> pause(notice.toLong())
            }
            availability.remainingPauseMs(endpoint())
        }
        val name = "knapweedferry_routed_endpoint_availability_changes_total"
        val label = case.change.name.lowercase()
        val line = metrics.scrape().lines().single { it.startsWith("$name{") && "change=\"$label\"" in it }
        assertEquals(case.count.toDouble(), line.substringAfterLast(' ').toDouble())
    }

    @Test
    fun `the marks of many endpoints are bounded and the latest ones are kept`() {
        repeat(5_000) { availability.record(endpoint("e$it"), 200, EndpointNotice(isLeaving = true)) }
        assertEquals(1_024, (0 until 5_000).count { availability.isLeaving(endpoint("e$it")) })
        assertTrue(availability.isLeaving(endpoint("e4999")))
    }

    private companion object {
        const val LONGEST_MS = 5_000L
    }
}
