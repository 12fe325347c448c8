package io.knapweedferry.policy.speed

/** What this entry has measured at one engine. */
internal class OwnTimes {
    val prefill = TimeSamples()
    val decode = TimeSamples()

    val estimate: EngineTimes get() = EngineTimes(prefill.estimate, decode.estimate)
}
