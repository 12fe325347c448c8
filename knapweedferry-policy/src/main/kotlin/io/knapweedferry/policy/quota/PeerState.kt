package io.knapweedferry.policy.quota

/** Another entry, as its reports show it. */
internal class PeerState(
    var startedAtMs: Long,
    var heardAtS: Double,
    /** [UseReport.uptimeMs] of the last report. */
    val uptimeMs: Long,
)
