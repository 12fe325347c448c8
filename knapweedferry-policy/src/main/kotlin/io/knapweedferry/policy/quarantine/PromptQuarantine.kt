package io.knapweedferry.policy.quarantine

import io.knapweedferry.api.PromptPartId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Decides which prompts of one service are not sent to engines because they crash them. Answers requests of one kind that
 * crash engine after engine while all other requests run well.
 *
 * When an engine crashes, the requests that it had not begun to answer are suspects. Prompt parts are suspected together: a
 * prompt is quarantined if it contains everything that the suspects of at least [MIN_CRASHES] crashes have in common, and if
 * other prompts were answered meanwhile. A part is cleared when an engine answers a prompt that contains it, so parts that
 * sound requests share with the crashing ones stay usable. Crashes that hit requests by chance have no part in common.
 *
 * A quarantine ends after a time without a further crash; the time doubles with each crash that follows. No I/O; confined to
 * one thread.
 */
public class PromptQuarantine(
    private val timeSource: TimeSource.WithComparableMarks = TimeSource.Monotonic,
) {
    private val crashes = LinkedHashMap<EngineIncarnation, Crash>()

    /** Parts that were cleared, with the time of the last clearance; the least recent one first. */
    private val cleared = LinkedHashMap<PromptPartId, ComparableTimeMark>()
    private var lastAnswering: ComparableTimeMark? = null

    /** Suspect parts of one crash, as far as they are not cleared. */
    private class Crash(
        val at: ComparableTimeMark,
        val suspects: MutableSet<PromptPartId>,
    )

    /**
     * Records that [engine] crashed [ageMs] ago with requests that it had not begun to answer. [parts] are the shared prompt
     * parts of these requests. Reports of the same crash by several instances are combined.
     */
    public fun recordCrash(
        engine: EngineIncarnation,
        parts: Collection<PromptPartId>,
        ageMs: Long = 0,
    ) {
        removeExpired()
        val suspects = parts.filterNot(::isCleared)
        if (suspects.isEmpty() || ageMs >= MAX_EVIDENCE_AGE_MS) return
        val at = timeSource.markNow() - ageMs.milliseconds
        crashes.getOrPut(engine) { Crash(at, LinkedHashSet()) }.suspects += suspects
        if (crashes.size > MAX_CRASHES) crashes.remove(crashes.keys.first())
    }

    /** Records that an engine answers a prompt with the shared [parts]; called with each part of the answer. */
    public fun recordAnswering(parts: Collection<PromptPartId>) {
        lastAnswering = timeSource.markNow()
        val answered = parts.toSet()
        crashes.values.forEach { it.suspects.removeAll(answered) }
        crashes.values.removeIf { it.suspects.isEmpty() }
        parts.forEach { part ->
            cleared.remove(part)
            cleared[part] = timeSource.markNow()
        }
        while (cleared.size > MAX_CLEARED_PARTS) cleared.remove(cleared.keys.first())
    }

    /** Returns why a prompt with the shared [parts] is quarantined; null if it is not. */
    public fun find(parts: Collection<PromptPartId>): QuarantineReason? {
        if (crashes.size < MIN_CRASHES) return null
        removeExpired()
        return parts.firstNotNullOfOrNull { reason(it, parts) }
    }

    private fun reason(
        part: PromptPartId,
        prompt: Collection<PromptPartId>,
    ): QuarantineReason? {
        val matching = crashes.values.filter { part in it.suspects }
        if (matching.size < MIN_CRASHES) return null
        val common = matching.map { it.suspects.toSet() }.reduce { all, next -> all intersect next }
        if (!prompt.containsAll(common) || !othersAnsweredSince(matching.minOf { it.at })) return null
        val remainingMs = durationMs(matching.size) - matching.minOf { it.at.elapsedNow() }.inWholeMilliseconds
        return if (remainingMs > 0) QuarantineReason(common, matching.size, remainingMs) else null
    }

    /** While no request is answered at all, the engines or the network are at fault and not the prompt. */
    private fun othersAnsweredSince(first: ComparableTimeMark) = lastAnswering?.let { it >= first } ?: false

    private fun durationMs(crashCount: Int): Long = BASE_DURATION_MS shl minOf(crashCount - MIN_CRASHES, MAX_DOUBLINGS)

    private fun isCleared(part: PromptPartId) = cleared[part]?.let { it.elapsedNow().inWholeMilliseconds < CLEARANCE_MS } ?: false

    private fun removeExpired() {
        crashes.values.removeIf { it.at.elapsedNow().inWholeMilliseconds >= MAX_EVIDENCE_AGE_MS }
    }

    public companion object {
        /** One request with its retry can meet two accidental crashes. */
        public const val MIN_CRASHES: Int = 3

        /** After this time, one crash more shows whether the prompts still crash engines. */
        public const val BASE_DURATION_MS: Long = 60_000L
        private const val MAX_DOUBLINGS = 4

        /** Evidence outlasts the longest quarantine, so that one further crash renews it. */
        public const val MAX_EVIDENCE_AGE_MS: Long = (BASE_DURATION_MS shl MAX_DOUBLINGS) * 2

        /** A part that engines answered within this time is not suspected. */
        private const val CLEARANCE_MS = 30_000L
        private const val MAX_CLEARED_PARTS = 4_096

        /** Limits the memory and the time of a decision when many engines crash. */
        private const val MAX_CRASHES = 256
    }
}
