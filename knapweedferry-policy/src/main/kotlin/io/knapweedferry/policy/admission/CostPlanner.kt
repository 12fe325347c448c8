package io.knapweedferry.policy.admission

import java.util.PriorityQueue

/**
 * Decides which requests give way when engines grant too little work for all: those whose delay or refusal costs callers
 * least. No I/O, no clock, no state.
 *
 * Requests are served by the value of their responses in steps of one half ([WaitingRequest.valueStep]), then by the priority
 * of the route, then by time waited. A request that can't be served before its caller gives up is refused, but if another one
 * of its step and route priority ahead of it needs more work, that one gives way in its place (Moore-Hodgson).
 */
public object CostPlanner {
    /** Plans [waiting]; if [history] is null, the rate of grants is unknown, and nothing is refused by forecast. */
    public fun plan(
        waiting: List<WaitingRequest>,
        history: GrantHistory?,
    ): CostPlan {
        val (expired, live) = waiting.indices.partition { !waiting[it].hasBegun && waiting[it].timeToAbandonMs <= 0 }
        val refusals = expired.associateWithTo(LinkedHashMap()) { CostRefusal(RefusalCause.EXPIRED, 0.0, 0.0) }
        val sorted = live.map { Job(it, waiting[it]) }.sortedWith(Job.ORDER)
        if (history == null || sorted.isEmpty()) return CostPlan(sorted.map { it.index }, refusals)
        val forecast = Forecast(history, sorted.sumOf { it.request.work } / sorted.size)
        // Sorted already, so the groups are in the order of service.
        sorted.groupBy { it.request.valueStep to it.request.routePriority }.values.forEach(forecast::add)
        val roomAfterMs = forecast.roomAfterMs
        forecast.refused.forEach { (job, refusal) -> refusals[job.index] = refusal.copy(roomAfterMs = roomAfterMs) }
        return CostPlan(forecast.kept.map { it.index }, refusals, forecast.waitsMs)
    }

    /** Expected waits of requests that are added in the order of service. */
    private class Forecast(
        private val history: GrantHistory,
        private val meanWork: Double,
    ) {
        val kept = ArrayList<Job>()
        val refused = ArrayList<Pair<Job, CostRefusal>>()

        /** By index; also has the last forecast of jobs that have been refused since. */
        val waitsMs = HashMap<Int, Double>()
        private var workAhead = 0.0
        private val totalRate = history.upperRate(Int.MIN_VALUE, meanWork)

        /** Work of the present value step ahead, in its group and in those before it. */
        private var stepAhead = 0.0
        private var step = Int.MIN_VALUE

        val roomAfterMs get() = workAhead / history.meanRate(meanWork)

        fun add(group: List<Job>) {
            if (group.first().request.valueStep != step) stepAhead = 0.0
            step = group.first().request.valueStep
            if (group.first().request.hasBegun) return group.forEach(::keep).also { kept += group }
            val stepRate = history.upperRate(step, meanWork)
            val byWork = PriorityQueue(compareBy<Job> { -cappedWork(it) }.thenBy { it.request.waitedMs })
            val dropped = HashSet<Job>()
            for (job in group) {
                byWork += job
                keep(job)
                // The wait of a request does not include its own work; without it, the wait depends on those ahead only.
                var waitMs = waitMs(job.request.work, stepRate)
                while (waitMs > job.request.timeToAbandonMs && job !in dropped) {
                    val largest = byWork.remove()
                    dropped += largest
                    refused += largest to CostRefusal(causeOf(largest, job, stepRate), waitMs, 0.0)
                    workAhead -= largest.request.work
                    stepAhead -= largest.request.work
                    waitMs = waitMs(job.request.work, stepRate)
                }
                waitsMs[job.index] = waitMs
            }
            kept += group.filterNot { it in dropped }
        }

        private fun keep(job: Job) {
            workAhead += job.request.work
            stepAhead += job.request.work
        }

        private fun causeOf(
            refused: Job,
            job: Job,
            stepRate: Double,
        ): RefusalCause {
            val isAlone = stepAhead - job.request.work <= 0.0
            val outranked = isAlone || (workAhead - stepAhead) / totalRate > refused.request.timeToAbandonMs || stepRate == 0.0
            return if (outranked) RefusalCause.OUTRANKED else RefusalCause.OUTWEIGHED
        }

        /** The larger one of the waits for all capacity and for the capacity that more valuable requests leave over. */
        private fun waitMs(
            ownWork: Double,
            stepRate: Double,
        ): Double = maxOf((workAhead - ownWork) / totalRate, limitedWaitMs(stepAhead - ownWork, stepRate))

        /** More valuable requests are expected to take as much as recently for a limited time only, because bursts of load end. */
        private fun limitedWaitMs(
            work: Double,
            stepRate: Double,
        ): Double {
            val waitMs = work / stepRate
            return if (waitMs <= MAX_EXTRAPOLATED_MS) waitMs else MAX_EXTRAPOLATED_MS + (work - stepRate * MAX_EXTRAPOLATED_MS) / totalRate
        }

        /** Requests beyond the cap count as equally large, so that the largest ones are not the only ones to give way. */
        private fun cappedWork(job: Job): Double = minOf(job.request.work / meanWork, MAX_WORK_RATIO)
    }

    private class Job(
        val index: Int,
        val request: WaitingRequest,
    ) {
        companion object {
            val ORDER: Comparator<Job> =
                compareBy<Job> { it.request.valueStep }.thenBy { it.request.routePriority }.thenByDescending { it.request.waitedMs }
        }
    }

    /**
     * Bursts of load last 4 s and more. In OverloadPlay, 2 s serves the least urgent rank more often than the next one, because its
     * callers outlast the burst; 4 s refuses many of its requests that could have been served after the burst.
     */
    private const val MAX_EXTRAPOLATED_MS = 3_000.0

    /** Without a cap the largest requests are always the ones to give way. */
    private const val MAX_WORK_RATIO = 1.5
}
