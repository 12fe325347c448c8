package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason

/** Refusal of requests to an endpoint that accepts no new work. */
internal val ENDPOINT_LEAVING_REFUSAL = Refusal(RefusalReason.ENDPOINT_LEAVING)
