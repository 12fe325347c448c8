package io.knapweedferry.telemetry

/** What the audit stream says about one request. */
public data class AuditFindings(
    /** Records of all processes, oldest first. */
    val records: List<FoundRecord>,
    val scannedBatches: Int,
    /** Batches that could not be read. */
    val unreadableBatches: Int,
    /** Records that processes dropped, over all scanned batches. */
    val droppedRecords: Long,
    /** True if one of the drops may have removed a record of this request. */
    val dropsMayMatter: Boolean,
    /** False if older retained batches were left out because of the limit. */
    val reachedOldest: Boolean,
) {
    /** True if the absence of a record proves nothing. */
    public val mayBeIncomplete: Boolean get() = dropsMayMatter || unreadableBatches > 0 || !reachedOldest
}
