package io.knapweedferry.policy.quota

/** How the totals of a report continue those that this process knows. */
internal enum class ReportOrigin {
    /** Of the process that reported before. */
    SAME_INCARNATION,

    /** Of a process that started while this one ran: its totals started at zero. */
    NEW_INCARNATION,

    /** Of a process that may have used a part of its totals before this one started. */
    BASELINE,
}
