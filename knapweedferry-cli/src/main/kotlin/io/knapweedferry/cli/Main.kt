package io.knapweedferry.cli

import kotlin.system.exitProcess

/** Runs the command-line client `knapweedferry` and exits with the exit code of the command. */
public fun main(arguments: Array<String>) {
    exitProcess(OperatorProgram(System.out, System.err).run(arguments).code)
}
