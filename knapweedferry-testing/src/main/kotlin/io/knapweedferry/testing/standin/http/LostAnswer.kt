package io.knapweedferry.testing.standin.http

/** Ends a call by closing its connection without an answer. */
internal class LostAnswer : RuntimeException("the answer is lost on purpose")
