package io.knapweedferry.testing.fault

import java.util.concurrent.atomic.AtomicLong

/** Counters of one route. */
internal class RouteCounters {
    val acceptedConnections = AtomicLong()
    val deliveredBytes = AtomicLong()
    val discardedBytes = AtomicLong()
}
