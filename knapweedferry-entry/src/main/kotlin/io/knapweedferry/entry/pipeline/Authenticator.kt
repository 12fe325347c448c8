package io.knapweedferry.entry.pipeline

import arrow.core.Either
import arrow.core.left
import arrow.core.right
import io.knapweedferry.api.OrganisationId
import io.knapweedferry.api.Refusal
import io.knapweedferry.api.RefusalReason
import io.knapweedferry.api.Revision
import io.knapweedferry.config.state.ConfigSnapshot
import java.security.MessageDigest
import java.util.concurrent.atomic.AtomicReference

/** Maps an API key to its organisation. Stores and compares only SHA-256 hashes of the keys. */
internal class Authenticator {
    private class KeyIndex(
        val revision: Revision,
        val organisations: Map<String, OrganisationId>,
    )

    private val index = AtomicReference(KeyIndex(Revision.NONE, emptyMap()))

    fun authenticate(
        bearerToken: String?,
        config: ConfigSnapshot,
    ): Either<Refusal, OrganisationId> {
        if (bearerToken == null) return Refusal(RefusalReason.UNAUTHENTICATED, "the Authorization header has no bearer token").left()
        val organisation = indexOf(config).organisations[sha256Hex(bearerToken)]
        return organisation?.right() ?: Refusal(RefusalReason.UNAUTHENTICATED, "unknown API key").left()
    }

    /** Cached for each configuration revision, so that a request does not have to search all organisations. */
    private fun indexOf(config: ConfigSnapshot): KeyIndex {
        val cached = index.get()
        if (cached.revision == config.revision) return cached
        val organisations =
            config.state.organisations
                .flatMap { (id, policy) -> policy.apiKeySha256.map { it to id } }
                .toMap()
        return KeyIndex(config.revision, organisations).also(index::set)
    }

    private fun sha256Hex(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.encodeToByteArray()).joinToString("") { "%02x".format(it) }
}
