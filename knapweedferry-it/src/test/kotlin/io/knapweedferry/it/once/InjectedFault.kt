package io.knapweedferry.it.once

import io.knapweedferry.testing.deploy.LocalDeployment

/** Faults injected while `tag-stamp` calls are in progress. */
internal enum class InjectedFault {
    NONE,
    ENTRY_KILLED,
    ENTRY_PAUSED,
    SIDECAR_KILLED,
    SIDECAR_PAUSED,
    SIDECAR_PAUSED_AND_REPLACED,
    LINK_CUT,
    LINK_SILENT,
    APPEND_ANSWERS_LOST,
    LOG_DOWN,
    SERVICE_SILENT,
    SERVICE_SILENT_AFTER_EFFECT,
    ;

    fun begin(
        deployment: LocalDeployment,
        entry: Int,
        service: String,
    ) {
        when (this) {
            NONE -> Unit
            ENTRY_KILLED -> deployment.entries[entry].kill()
            ENTRY_PAUSED -> deployment.entries[entry].pauseProcess()
            SIDECAR_KILLED -> deployment.sidecars.getValue(service).kill()
            SIDECAR_PAUSED, SIDECAR_PAUSED_AND_REPLACED -> deployment.sidecars.getValue(service).pauseProcess()
            LINK_CUT -> deployment.injectNetworkFault(service, "cut")
            LINK_SILENT -> deployment.injectNetworkFault(service, "silence", """{"new":true}""")
            APPEND_ANSWERS_LOST -> deployment.setStandInFaults("log", """{"lostAnswerProbability":0.7}""")
            LOG_DOWN -> deployment.setStandInFaults("log", """{"outage":"CUT"}""")
            SERVICE_SILENT -> deployment.setStandInFaults(service, """{"outage":"SILENT"}""")
            SERVICE_SILENT_AFTER_EFFECT -> deployment.setStandInFaults(service, """{"outageAfterEffect":"SILENT"}""")
        }
    }

    fun end(
        deployment: LocalDeployment,
        entry: Int,
        service: String,
    ) {
        val sidecar = deployment.sidecars.getValue(service)
        when (this) {
            NONE -> Unit
            ENTRY_KILLED -> deployment.entries[entry].start().also { deployment.awaitReady(entry) }
            ENTRY_PAUSED -> deployment.entries[entry].resumeProcess()
            SIDECAR_KILLED -> sidecar.start()
            SIDECAR_PAUSED -> sidecar.resumeProcess()
            SIDECAR_PAUSED_AND_REPLACED -> sidecar.kill().also { sidecar.start() }
            LINK_CUT, LINK_SILENT -> deployment.injectNetworkFault(service, "heal")
            APPEND_ANSWERS_LOST, LOG_DOWN -> deployment.setStandInFaults("log", "{}")
            SERVICE_SILENT, SERVICE_SILENT_AFTER_EFFECT -> deployment.setStandInFaults(service, "{}")
        }
    }
}
