package io.knapweedferry.entry.operator

import io.knapweedferry.api.ProcessId
import io.knapweedferry.api.StreamName
import io.knapweedferry.config.stream.ConfigFollower
import io.knapweedferry.config.stream.RecordAppender
import io.knapweedferry.platform.instance.InstanceList
import io.knapweedferry.platform.log.AppendLog
import io.knapweedferry.platform.weight.WeightStore
import java.time.Clock

/** Dependencies of the operator interface. */
public class OperatorContext(
    public val process: ProcessId,
    public val follower: ConfigFollower,
    public val log: AppendLog,
    public val instances: InstanceList,
    public val weights: WeightStore,
    public val stream: StreamName = StreamName("config"),
    public val clock: Clock = Clock.systemUTC(),
) {
    internal val appender = RecordAppender(log, stream)
}
