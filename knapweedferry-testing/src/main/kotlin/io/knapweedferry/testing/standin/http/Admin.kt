package io.knapweedferry.testing.standin.http

import kotlinx.serialization.KSerializer

/** What a stand-in offers under `/admin`. */
internal interface Admin<F : Any, L : Any> {
    /** Faults in force; `POST /admin/faults` replaces them as a whole, and `{}` heals everything. */
    var faults: F

    val faultsSerializer: KSerializer<F>

    val ledgerSerializer: KSerializer<L>

    /** What the stand-in did so far. */
    suspend fun ledger(): L
}
