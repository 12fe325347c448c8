package io.knapweedferry.it

import java.nio.file.Path

/** Where the daemons under test come from. */
internal object Daemons {
    /** Libraries that the start scripts use, collected by the module before this one. */
    val classPath: String = Path.of("..", "knapweedferry-dist", "target", "lib", "*").toString()
}
