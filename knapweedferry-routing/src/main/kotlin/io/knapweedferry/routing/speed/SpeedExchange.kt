package io.knapweedferry.routing.speed

import io.knapweedferry.policy.speed.SpeedReport

/** Exchange of the measured speeds of engines between the instances of a fleet. */
public interface SpeedExchange {
    /** Name of this instance in its reports. */
    public val node: String

    /** Writes [report] in the background, without blocking. A failed write is not repeated: a later report contains it. */
    public fun publish(report: SpeedReport)

    /** Starts to read the reports of the other instances, which costs calls; passes each successful read to [receiver], from any thread. */
    public fun subscribe(receiver: (List<SpeedReport>) -> Unit)

    /** Sets the time between reads; a pause in progress that has lasted longer ends. */
    public fun setPollPauseMs(pauseMs: Long)
}
