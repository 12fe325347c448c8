package io.knapweedferry.it

/** Tag of tests that fail because of an open fault. KNOWN-RED.txt lists each of them; CI excludes exactly these. */
internal const val KNOWN_RED = "known-red"
