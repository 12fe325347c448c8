package io.knapweedferry.routing.fleet

/** Why an endpoint of a service is not a candidate for a request. */
internal enum class EndpointExclusion {
    /** Listed as draining. */
    DRAINING,

    /** Said in a response that it is leaving. */
    LEAVING,

    /** Asked for a time without requests. */
    PAUSED,

    /** Engine that only prefills prompts. */
    OTHER_STAGE,

    /** Recently unreachable, or refused a run, while there are other engines. */
    AVOIDED,

    /** Recently refused a reservation that was not larger. */
    RECENTLY_REFUSED,

    /** Has not yet responded to a reservation request of this entry. */
    RESERVATION_PENDING,
}
