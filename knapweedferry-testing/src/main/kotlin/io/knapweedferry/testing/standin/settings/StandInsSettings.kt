package io.knapweedferry.testing.standin.settings

import com.akuleshov7.ktoml.Toml
import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import java.nio.file.Files
import java.nio.file.Path

/** Settings of all stand-ins of a process. A stand-in without settings is not started. */
@Serializable
public data class StandInsSettings(
    val host: String = "127.0.0.1",
    val seed: Long = 1,
    @SerialName("time_scale")
    val enginePerformance: EnginePerformance = EnginePerformance(),
    val log: LogSettings? = null,
    @SerialName("instance_list")
    val instanceList: InstanceListSettings? = null,
    val instances: List<InstanceSettings> = emptyList(),
    @SerialName("weight_store")
    val weightStore: WeightStoreSettings? = null,
    val weights: List<WeightSettings> = emptyList(),
    val links: List<LinkSettings> = emptyList(),
    val engines: List<EngineSettings> = emptyList(),
    val services: List<ServiceSettings> = emptyList(),
) {
    public companion object {
        /** Reads settings from a TOML file. */
        public fun load(file: Path): StandInsSettings = parse(Files.readString(file))

        /** Reads settings from TOML text. */
        public fun parse(text: String): StandInsSettings = Toml.decodeFromString(serializer(), text)
    }
}
