package io.knapweedferry.config.settings

import kotlinx.serialization.ExperimentalSerializationApi
import kotlinx.serialization.SerialInfo

/** Inclusive range of an integer setting. */
@OptIn(ExperimentalSerializationApi::class)
@SerialInfo
@Target(AnnotationTarget.PROPERTY)
public annotation class InRange(
    val min: Long,
    val max: Long,
)
