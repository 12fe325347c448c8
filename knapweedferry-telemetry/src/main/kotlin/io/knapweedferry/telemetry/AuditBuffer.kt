package io.knapweedferry.telemetry

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Lock-free queue of encoded records for the writer. It is bounded in bytes and rejects records when full instead of blocking. */
internal class AuditBuffer(
    private val capacityBytes: Int,
) {
    private val queue = ConcurrentLinkedQueue<EncodedAuditRecord>()
    private val usedBytes = AtomicInteger()
    private val dropped = AtomicReference<DroppedRecords?>()

    /** Adds [record]; returns false if it does not fit. */
    fun offer(record: EncodedAuditRecord): Boolean {
        val before = usedBytes.getAndUpdate { if (it + record.sizeBytes <= capacityBytes) it + record.sizeBytes else it }
        if (before + record.sizeBytes > capacityBytes) return false
        queue.add(record)
        return true
    }

    /** Removes the oldest records, up to a total of [maxBytes]. Not safe for concurrent callers; only the writer calls it. */
    fun drain(maxBytes: Int): List<EncodedAuditRecord> {
        val drained = mutableListOf<EncodedAuditRecord>()
        var drainedBytes = 0
        var next = queue.peek()
        while (next != null && drainedBytes + next.sizeBytes <= maxBytes) {
            drained += queue.remove()
            drainedBytes += next.sizeBytes
            next = queue.peek()
        }
        usedBytes.addAndGet(-drainedBytes)
        return drained
    }

    /** Adds [records] to the drops that the next batch reports. */
    fun addDropped(records: DroppedRecords) {
        dropped.updateAndGet { it?.plus(records) ?: records }
    }

    /** Returns and clears the unreported drops. The caller must report them or return them with [addDropped]. */
    fun takeDropped(): DroppedRecords? = dropped.getAndSet(null)

    val isEmpty: Boolean get() = queue.isEmpty() && dropped.get() == null

    val queuedBytes: Int get() = usedBytes.get()
}
