package io.knapweedferry.platform.http

import kotlinx.serialization.json.Json

/** JSON format for external systems. Ignores unknown fields, so that newer versions can add some. */
public val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
