package io.knapweedferry.daemon.process

import io.knapweedferry.api.EndpointId
import io.knapweedferry.config.state.ConfigSnapshot
import io.knapweedferry.config.state.ConfigSource
import io.knapweedferry.config.stream.ConfigFollower

/**
 * Target configuration of one endpoint. During a rollout it differs from the configuration by which requests are routed:
 * for an endpoint whose step is due, it already contains the new assignment and version.
 */
internal class EndpointTargetConfig(
    private val follower: ConfigFollower,
    private val endpoint: EndpointId,
) : ConfigSource {
    override fun current(): ConfigSnapshot? {
        val state = follower.currentState() ?: return null
        val snapshot = state.snapshot()
        val target = state.target(endpoint) ?: return snapshot
        val model = target.assignment.model
        val policy = model?.let { snapshot.state.models[it] }
        val version = target.version
        val models =
            if (policy == null || version == null) {
                snapshot.state.models
            } else {
                snapshot.state.models + (model to policy.copy(version = version))
            }
        val config = snapshot.state.copy(models = models, endpoints = snapshot.state.endpoints + (endpoint to target.assignment))
        return ConfigSnapshot(target.revision, config, snapshot.appliedOffset)
    }
}
