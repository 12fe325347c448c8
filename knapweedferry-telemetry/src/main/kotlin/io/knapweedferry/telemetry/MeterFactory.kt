package io.knapweedferry.telemetry

import io.knapweedferry.api.Rank
import io.micrometer.core.instrument.Counter
import io.micrometer.core.instrument.Gauge
import io.micrometer.core.instrument.MeterRegistry
import io.micrometer.core.instrument.Tag
import io.micrometer.core.instrument.Timer
import java.time.Duration

/** Registers meters with the common name prefix. */
internal class MeterFactory(
    private val registry: MeterRegistry,
) {
    fun counter(
        name: String,
        vararg labels: Pair<String, String>,
    ): Counter = Counter.builder("$PREFIX.$name").tags(labels.map { Tag.of(it.first, it.second) }).register(registry)

    fun timer(
        name: String,
        rank: Rank,
        boundsMs: LongArray,
    ): Timer = timer(name, "rank" to rank.label, boundsMs)

    // The spread operator copies the array, but only once per timer, at startup.
    @Suppress("SpreadOperator")
    fun timer(
        name: String,
        label: Pair<String, String>,
        boundsMs: LongArray,
    ): Timer =
        Timer
            .builder("$PREFIX.$name")
            .tag(label.first, label.second)
            .serviceLevelObjectives(*Array(boundsMs.size) { Duration.ofMillis(boundsMs[it]) })
            .register(registry)

    fun gauge(
        name: String,
        description: String,
        labels: List<GaugeLabel>,
        value: () -> Number,
    ) {
        Gauge
            .builder("$PREFIX.$name", value)
            .description(description)
            .tags(labels.map { tag(it) })
            .register(registry)
    }

    private fun tag(label: GaugeLabel): Tag =
        when (label) {
            is GaugeLabel.ByRank -> Tag.of("rank", label.rank.label)
            is GaugeLabel.ByOrganisation -> Tag.of("organisation", label.organisation)
            is GaugeLabel.ByEndpoint -> Tag.of("endpoint", label.endpoint.value)
        }

    private companion object {
        const val PREFIX = "knapweedferry"
    }
}

/** Lower-case name of the constant, as used in metric label values. */
internal val Enum<*>.label: String get() = name.lowercase()
