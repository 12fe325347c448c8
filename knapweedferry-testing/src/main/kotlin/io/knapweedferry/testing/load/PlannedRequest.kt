package io.knapweedferry.testing.load

/** One request of a run, fixed before the run starts. */
public data class PlannedRequest(
    /** Position in the run, from 0. */
    val sequence: Int,
    /** Time of arrival after the start of the run. */
    val atMs: Long,
    val work: LoadWork,
    val organisation: LoadOrganisation,
    val entryUrl: String,
    val promptTokens: Int,
    val answerTokens: Int,
    /** Which of the documents of the work the prompt is about. */
    val document: Int,
)
