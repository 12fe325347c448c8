package io.knapweedferry.testing.standin.http

/** Ends a request by closing its connection without a response. */
internal class DroppedConnectionException : RuntimeException("connection closed without a response by an injected fault")
