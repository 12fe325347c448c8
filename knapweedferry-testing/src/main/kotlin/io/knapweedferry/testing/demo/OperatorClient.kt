package io.knapweedferry.testing.demo

import io.knapweedferry.testing.deploy.LocalDeployment
import java.nio.file.Path
import java.util.concurrent.TimeUnit

/** Runs the command-line client for operators against a deployment. */
internal class OperatorClient(
    private val deployment: LocalDeployment,
) {
    /** Runs the client once and returns its output; fails if its exit code is not 0. */
    fun run(vararg arguments: String): String {
        val (code, output) = call(arguments.toList())
        check(code == 0) { "knapweedferry ${arguments.joinToString(" ")} exited with code $code: $output" }
        return output
    }

    /** Retries until the client succeeds, for data that reaches the log with a delay. */
    fun runUntilSuccess(vararg arguments: String): String {
        repeat(ATTEMPTS) {
            val (code, output) = call(arguments.toList())
            if (code == 0) return output
            Thread.sleep(PAUSE_MS)
        }
        return run(*arguments)
    }

    private fun call(arguments: List<String>): Pair<Int, String> {
        val java = Path.of(System.getProperty("java.home"), "bin", "java").toString()
        val classPath = System.getProperty("java.class.path")
        val connection = listOf("--entry", deployment.entryUrl(0), "--token-file", deployment.operatorTokenFile.toString())
        val command = listOf(java, "-XX:TieredStopAtLevel=1", "-cp", classPath, MAIN_CLASS) + connection + arguments
        val process = ProcessBuilder(command).redirectErrorStream(true).start()
        val output = process.inputStream.readAllBytes().decodeToString()
        check(process.waitFor(TIMEOUT_SECONDS, TimeUnit.SECONDS)) { "the command-line client did not exit within $TIMEOUT_SECONDS s" }
        return process.exitValue() to output
    }

    private companion object {
        const val MAIN_CLASS = "io.knapweedferry.cli.MainKt"
        const val ATTEMPTS = 15
        const val PAUSE_MS = 500L
        const val TIMEOUT_SECONDS = 30L
    }
}
