package io.knapweedferry.telemetry

/** Result of searching the audit stream for one request. */
public data class AuditSearchResult(
    /** Records of the request from all processes, oldest first. */
    val matches: List<AuditMatch>,
    val scannedBatches: Int,
    /** Scanned batches that could not be decoded. */
    val unreadableBatches: Int,
    /** Number of dropped records that the scanned batches report, for all requests and processes. */
    val droppedRecords: Long,
    /** True if a reported drop may include a record of this request. */
    val dropsMayAffectRequest: Boolean,
    /** False if the scan limit was reached before the oldest retained batch. */
    val reachedOldest: Boolean,
) {
    /** True if records of this request may be missing from [matches]. */
    public val mayBeIncomplete: Boolean get() = dropsMayAffectRequest || unreadableBatches > 0 || !reachedOldest
}
