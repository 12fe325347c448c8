package io.knapweedferry.routing.upstream

/** What a response to a request of the entry's own is, as far as its reader can tell. */
internal enum class ResponseOrigin {
    OWN,

    /** Copy of an earlier response; the response to the request is still to come. */
    COPY,

    /** Response to some other request. */
    OTHER,
}
