package io.knapweedferry.platform.http

import kotlinx.serialization.json.Json

/** JSON towards outside systems; fields that this version does not know are passed over. */
public val WireJson: Json =
    Json {
        ignoreUnknownKeys = true
        encodeDefaults = true
    }
