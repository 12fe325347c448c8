package io.knapweedferry.testing.standin.http

import kotlinx.serialization.KSerializer

/** Stand-in with injectable faults and statistics, served under `/admin`. */
internal interface AdminTarget<F : Any, S : Any> {
    /** Active faults. `POST /admin/faults` replaces all of them; `{}` clears them. */
    var faults: F

    val faultsSerializer: KSerializer<F>

    val statisticsSerializer: KSerializer<S>

    /** Returns what the stand-in has done since its start. */
    suspend fun statistics(): S
}
