package io.knapweedferry.routing.pipeline

/** Order in which the requests of one [AdmissionQueue] are served, and which of them are refused. Confined to the event loop. */
internal interface AdmissionOrder {
    /** [tickets] in the order of service. */
    fun sorted(tickets: List<AdmissionTicket>): List<AdmissionTicket>

    /** Number of [tickets] that are served before [ticket], which has just arrived. */
    fun ahead(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): Int

    /** Null if [ticket], with [ahead] others before it in the result of [sorted], should go on waiting. */
    fun refusal(
        ticket: AdmissionTicket,
        ahead: Int,
    ): AdmissionRefusal?

    /** What would happen to [ticket] if it joined [tickets] now. Changes and records nothing. */
    fun preview(
        ticket: AdmissionTicket,
        tickets: List<AdmissionTicket>,
    ): AdmissionForecast

    /** Share of an engine's KV cache that must stay free for more urgent requests of any entry when [ticket] is admitted. */
    fun headroomShare(ticket: AdmissionTicket): Double

    /** Called when no engine has capacity for the first request. */
    fun recordNoCapacity()

    /** Called when an engine has granted capacity to [ticket]. */
    fun recordGrant(ticket: AdmissionTicket)

    /** Called when no request is waiting any more. */
    fun recordQueueEmpty()
}
