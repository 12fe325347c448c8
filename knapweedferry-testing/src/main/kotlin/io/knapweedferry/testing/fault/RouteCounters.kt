package io.knapweedferry.testing.fault

import java.util.concurrent.atomic.AtomicLong

/** Counters of one route. */
internal class RouteCounters {
    val accepted = AtomicLong()
    val delivered = AtomicLong()
    val discarded = AtomicLong()
}
