package io.knapweedferry.policy.quarantine

import io.knapweedferry.api.PromptPartId
import kotlin.time.ComparableTimeMark
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.TimeSource

/**
 * Decides which prompts of one service are not sent to engines because they crash them. Answers requests of one kind that
 * crash engine after engine while all other requests run well.
 *
 * When an engine crashes, all requests that it was running are suspects, however far their answers had got. Prompt parts are
 * suspected together: a prompt is quarantined if it contains everything that the suspects of at least [MIN_CRASHES] crashes
 * have in common, each of these under a request that was sent after the crash before, and if other prompts were answered
 * meanwhile. Engines that crash at the same moment show nothing about the requests that they all were running. A part is
 * cleared when an engine completes a prompt that contains it, so parts that sound requests share with the crashing ones stay
 * usable. Crashes that hit requests by chance have no part in common that was not completed before or after. An engine that
 * answers again at once has not crashed.
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

    /** Time of the last sign that an engine answers a prompt, by the shared parts of the prompt; the least recent one first. */
    private val answering = LinkedHashMap<List<PromptPartId>, ComparableTimeMark>()

    private class Crash(
        val at: ComparableTimeMark,
    ) {
        /** Suspect parts, as far as they are not cleared, with the time at which the last run with each was sent. */
        val suspects = LinkedHashMap<PromptPartId, ComparableTimeMark>()

        fun add(
            part: PromptPartId,
            sentAt: ComparableTimeMark,
        ) {
            suspects.merge(part, sentAt) { known, other -> maxOf(known, other) }
        }
    }

    /**
     * Records that [engine] crashed [ageMs] ago while it ran requests that had been sent [runMs] before. [parts] are the shared
     * prompt parts of these requests. Reports of the same crash by several instances are combined. Returns the parts that are
     * suspects.
     */
    public fun recordCrash(
        engine: EngineIncarnation,
        parts: Collection<PromptPartId>,
        ageMs: Long = 0,
        runMs: Long = 0,
    ): Set<PromptPartId> {
        removeExpired()
        val suspects = parts.filterNotTo(LinkedHashSet(), ::isCleared)
        if (suspects.isEmpty() || ageMs >= MAX_EVIDENCE_AGE_MS) return emptySet()
        val at = timeSource.markNow() - ageMs.milliseconds
        val crash = crashes.getOrPut(engine) { Crash(at) }
        suspects.forEach { crash.add(it, at - runMs.milliseconds) }
        if (crashes.size > MAX_CRASHES) crashes.remove(crashes.keys.first())
        return suspects
    }

    /**
     * Records that [engine] has answered a request that was sent to it [sentAgoMs] ago. It has not crashed then, but only its
     * connections were closed, unless there was time to restart.
     */
    public fun recordAlive(
        engine: EngineIncarnation,
        sentAgoMs: Long,
    ) {
        val crash = crashes[engine] ?: return
        val sinceMs = crash.at.elapsedNow().inWholeMilliseconds
        if (sentAgoMs <= sinceMs && sinceMs < MIN_RESTART_MS) crashes -= engine
    }

    /** Records a sign that an engine answers a prompt with the shared [parts]; called with each part of the answer. */
    public fun recordAnswering(parts: List<PromptPartId>) {
        answering.remove(parts)
        answering[parts] = timeSource.markNow()
        if (answering.size > MAX_ANSWERING) answering.remove(answering.keys.first())
    }

    /** Records that an engine has answered a prompt with the shared [parts] completely. */
    public fun recordCompleted(parts: List<PromptPartId>) {
        recordAnswering(parts)
        val answered = parts.toSet()
        crashes.values.forEach { it.suspects.keys.removeAll(answered) }
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
        if (successiveCrashes(part, matching) < MIN_CRASHES) return null
        val first = matching.minOf { it.at }
        val common = matching.map { it.suspects.keys.toSet() }.reduce { all, next -> all intersect next }
        if (!prompt.containsAll(common) || !othersAnsweredSince(first, common)) return null
        val remainingMs = durationMs(matching.size) - matching.minOf { it.at.elapsedNow() }.inWholeMilliseconds
        return if (remainingMs > 0) QuarantineReason(common, matching.size, remainingMs) else null
    }

    /** Number of crashes in the longest series in which each run with [part] was sent after the crash before. */
    private fun successiveCrashes(
        part: PromptPartId,
        matching: List<Crash>,
    ): Int {
        var count = 0
        var last: ComparableTimeMark? = null
        matching.sortedBy { it.at }.forEach { crash ->
            if (last?.let { crash.suspects.getValue(part) < it } == true) return@forEach
            count++
            last = crash.at
        }
        return count
    }

    /** While no other prompt is answered, the engines or the network are at fault and not the prompt. */
    private fun othersAnsweredSince(
        first: ComparableTimeMark,
        common: Set<PromptPartId>,
    ) = answering.any { (parts, at) -> at >= first && !parts.containsAll(common) }

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

        /** A part of a prompt that engines completed within this time is not suspected. */
        private const val CLEARANCE_MS = 30_000L
        private const val MAX_CLEARED_PARTS = 4_096
        private const val MAX_ANSWERING = 256

        /** Engines need some seconds to restart. */
        private const val MIN_RESTART_MS = 1_000L

        /** Limits the memory and the time of a decision when many engines crash. */
        private const val MAX_CRASHES = 256
    }
}
