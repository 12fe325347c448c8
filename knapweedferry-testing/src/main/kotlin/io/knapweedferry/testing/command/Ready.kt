package io.knapweedferry.testing.command

/** Tells scripts that all ports listen. */
internal object Ready {
    /** Prints the line `ready` and waits until the process is stopped. */
    fun announceAndWait() {
        println("ready")
        System.out.flush()
        Thread.currentThread().join()
    }
}
