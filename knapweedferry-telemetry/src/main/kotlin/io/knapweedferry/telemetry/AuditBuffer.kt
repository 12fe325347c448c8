package io.knapweedferry.telemetry

import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.atomic.AtomicInteger
import java.util.concurrent.atomic.AtomicReference

/** Encoded records that wait for the writer: bounded by bytes, without locks, and full rather than slow. */
internal class AuditBuffer(
    private val capacityBytes: Int,
) {
    private val queue = ConcurrentLinkedQueue<EncodedRecord>()
    private val usedBytes = AtomicInteger()
    private val loss = AtomicReference<AuditLoss?>()

    /** Takes [record], or returns false if it does not fit. */
    fun offer(record: EncodedRecord): Boolean {
        val before = usedBytes.getAndUpdate { if (it + record.bytes <= capacityBytes) it + record.bytes else it }
        if (before + record.bytes > capacityBytes) return false
        queue.add(record)
        return true
    }

    /** Removes records from the front as long as their sum stays within [maxBytes]. Only the writer calls this. */
    fun take(maxBytes: Int): List<EncodedRecord> {
        val taken = mutableListOf<EncodedRecord>()
        var sum = 0
        var next = queue.peek()
        while (next != null && sum + next.bytes <= maxBytes) {
            taken += queue.remove()
            sum += next.bytes
            next = queue.peek()
        }
        usedBytes.addAndGet(-sum)
        return taken
    }

    /** Adds to what the next batch reports as dropped. */
    fun lose(more: AuditLoss) {
        loss.updateAndGet { it?.plus(more) ?: more }
    }

    /** Loss that was not reported yet; the caller reports it or gives it back by [lose]. */
    fun takeLoss(): AuditLoss? = loss.getAndSet(null)

    val isEmpty: Boolean get() = queue.isEmpty() && loss.get() == null

    val waitingBytes: Int get() = usedBytes.get()
}
