package io.knapweedferry.routing.pipeline

import io.knapweedferry.routing.model.RoutedEndpoint

/**
 * Reservations that engines have granted to this instance. A grant bears no id of its request, but each reservation is granted
 * only once, so a second grant of one is a copy. Confined to the event loop.
 */
internal class GrantedReservations {
    private val granted = LinkedHashSet<Grant>()

    /** True if [engine] grants [reservation] for the first time. */
    fun isNew(
        engine: RoutedEndpoint,
        reservation: String,
    ): Boolean {
        if (granted.size >= MAX_GRANTS) granted.remove(granted.first())
        return granted.add(Grant(engine.id.value, engine.startedAtMs, reservation))
    }

    /** An engine that starts again may use the ids of its former incarnation again. */
    private data class Grant(
        val engine: String,
        val startedAtMs: Long?,
        val reservation: String,
    )

    private companion object {
        /** At several hundred grants a second this covers copies that are many seconds late. */
        const val MAX_GRANTS = 8_192
    }
}
