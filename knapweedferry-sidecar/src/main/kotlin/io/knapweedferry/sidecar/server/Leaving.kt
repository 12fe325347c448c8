package io.knapweedferry.sidecar.server

import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason

/** Refusal of an endpoint that takes no new work. */
internal val LEAVING = Refusal(RefusalReason.ENDPOINT_LEAVING)
