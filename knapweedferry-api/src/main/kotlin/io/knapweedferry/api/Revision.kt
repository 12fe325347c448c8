package io.knapweedferry.api

import kotlinx.serialization.Serializable

/** Version of the configuration: the log offset of the last accepted confirmation. A higher revision is newer. */
@Serializable
@JvmInline
public value class Revision(
    public val value: Long,
) : Comparable<Revision> {
    override fun compareTo(other: Revision): Int = value.compareTo(other.value)

    public companion object {
        /** Revision of a process that has no configuration yet. */
        public val NONE: Revision = Revision(-1)
    }
}
