package io.knapweedferry.testing.load

/** Request of a run, with all random choices made before the run starts. */
public data class PlannedRequest(
    /** Position in the order of arrival, from 0. */
    val sequence: Int,
    /** Arrival time relative to the start of the run. */
    val atMs: Long,
    val work: LoadWork,
    val organisation: LoadOrganisation,
    val entryUrl: String,
    val promptTokens: Int,
    val answerTokens: Int,
    /** Index of the document that the prompt is about; determines the shared prefix. */
    val document: Int,
)
