package io.knapweedferry.sidecar.server

import io.knapweedferry.policy.admission.AdmissionGate
import io.knapweedferry.policy.admission.GateLimits

/** Creates admission gates. */
public fun interface GateFactory {
    /** Returns a new gate that admits work up to [limits]. */
    public fun create(limits: GateLimits): AdmissionGate
}
