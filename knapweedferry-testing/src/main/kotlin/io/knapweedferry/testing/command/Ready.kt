package io.knapweedferry.testing.command

/** Signals to scripts that all ports accept connections. */
internal object Ready {
    /** Prints the line `ready` and waits until the process is stopped. */
    fun announceAndWait() {
        println("ready")
        System.out.flush()
        Thread.currentThread().join()
    }
}
