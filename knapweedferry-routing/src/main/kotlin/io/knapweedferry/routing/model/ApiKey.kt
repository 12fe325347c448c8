package io.knapweedferry.routing.model

/** Secret that a caller sends to identify its organisation. Never logged. */
@JvmInline
public value class ApiKey(
    public val value: String,
) {
    override fun toString(): String = "ApiKey(hidden)"

    public companion object {
        /** Stands for credentials that do not consist of exactly one key. No organisation holds it, because keys are not empty. */
        public val UNREADABLE: ApiKey = ApiKey("")
    }
}
