package io.knapweedferry.sidecar.server

import io.knapweedferry.policy.admission.AdmissionGate
import io.knapweedferry.policy.admission.GateLimits

/** Makes the admission gate of an endpoint. */
public fun interface GateFactory {
    /** Returns a new gate with [limits]. */
    public fun create(limits: GateLimits): AdmissionGate
}
