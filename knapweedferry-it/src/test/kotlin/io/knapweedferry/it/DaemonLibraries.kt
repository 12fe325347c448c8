package io.knapweedferry.it

import java.nio.file.Path

/** Class path for the processes under test. */
internal object DaemonLibraries {
    /** Libraries of the start scripts, copied by the `knapweedferry-dist` module. */
    val classPath: String = Path.of("..", "knapweedferry-dist", "target", "lib", "*").toString()
}
