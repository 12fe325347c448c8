package io.knapweedferry.routing.model

/** What a quota counts. */
public enum class QuotaUnit { REQUESTS, TOKENS }
