package io.knapweedferry.routing.pipeline

import io.knapweedferry.api.AvailabilityZone
import io.knapweedferry.api.EndpointId
import io.knapweedferry.api.ServiceName
import io.knapweedferry.routing.call.AttemptTerms
import io.knapweedferry.routing.call.CallRequest
import io.knapweedferry.routing.call.CallTraits
import io.knapweedferry.routing.fleet.EndpointChoice
import io.knapweedferry.routing.model.RoutedEndpoint
import io.knapweedferry.routing.model.RoutingView
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.params.ParameterizedTest
import org.junit.jupiter.params.provider.EnumSource
import java.net.InetSocketAddress
import kotlin.time.TimeSource

/** Guards against two requests under one id on one connection, whose responses nothing would tell apart. */
internal class CallRecordSpec {
    enum class Case(
        val requestId: String?,
        val sentTo: String?,
        val isPrefill: Boolean,
        val permitsPooled: Boolean,
    ) {
        FIRST_ATTEMPT("r1", null, false, true),
        AT_ANOTHER_ENDPOINT("r1", "e2", false, true),
        SECOND_ATTEMPT("r1", "e1", false, false),
        AFTER_PREFILL("r1", "e1", true, false),
        WITHOUT_ID(null, null, false, false),
    }

    @ParameterizedTest
    @EnumSource(Case::class)
    fun `a pooled connection is used only for the first request under an id at an endpoint`(case: Case) {
        val record = CallRecord(call(case.requestId), RoutingView.EMPTY)
        case.sentTo?.let { record.recordSent(EndpointChoice(endpoint(it), 1.0), AttemptTerms(EndpointId(it), 100, 1, case.isPrefill)) }
        assertEquals(case.permitsPooled, record.permitsPooledConnection(EndpointId("e1")))
    }

    private fun call(requestId: String?) =
        CallRequest(
            HttpMethod.POST,
            "/x",
            "h.example",
            DefaultHttpHeaders(),
            ByteArray(0),
            CallTraits(requestId, 1_000, 0, 0, null, null),
            TimeSource.Monotonic.markNow(),
        )

    private fun endpoint(id: String) =
        RoutedEndpoint(
            EndpointId(id),
            ServiceName("s"),
            InetSocketAddress.createUnresolved("127.0.0.1", 1),
            AvailabilityZone("z"),
            1,
            false,
            null,
            1,
        )
}
