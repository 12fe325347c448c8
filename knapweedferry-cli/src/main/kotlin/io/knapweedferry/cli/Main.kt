package io.knapweedferry.cli

import kotlin.system.exitProcess

/** Entry point of the operator program `knapweedferry`. */
public fun main(arguments: Array<String>) {
    exitProcess(OperatorProgram(System.out, System.err).run(arguments).code)
}
