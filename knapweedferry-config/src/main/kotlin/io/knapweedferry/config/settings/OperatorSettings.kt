package io.knapweedferry.config.settings

import io.knapweedferry.api.OperatorName
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

/** Section `[[operator]]` of an entry: a person who may change the configuration. */
@Serializable
public data class OperatorSettings(
    @TextRule(TextFormat.NAME)
    val name: OperatorName,
    @Secret
    @TextRule(TextFormat.SHA256)
    @SerialName("token_sha256")
    val tokenSha256: String,
)
