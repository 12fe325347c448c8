package io.knapweedferry.testing.measure

import io.knapweedferry.testing.load.LoadReport
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import kotlinx.serialization.json.Json

/** Result of one run of a scenario under one policy. */
@Serializable
internal data class Measurement(
    val deployment: String,
    val scenario: MeasuredScenario,
    val policy: MeasuredPolicy,
    @SerialName("wasted_prefill_share")
    val wastedPrefillShare: Double,
    val faults: Int,
    val load: LoadReport,
) {
    fun toJson(): String = Json.encodeToString(serializer(), this)
}
