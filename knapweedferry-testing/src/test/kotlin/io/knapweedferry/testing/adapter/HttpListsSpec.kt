package io.knapweedferry.testing.adapter

import io.knapweedferry.api.ModelName
import io.knapweedferry.platform.PlatformError
import io.knapweedferry.platform.instance.HttpInstanceList
import io.knapweedferry.platform.instance.InstanceState
import io.knapweedferry.platform.weight.HttpWeightStore
import io.knapweedferry.platform.weight.WeightInfo
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertInstanceOf
import org.junit.jupiter.api.Test

/** Guards against adapters that drop, duplicate or misread instances or weights. */
internal class HttpListsSpec {
    private val fixture =
        StandInsFixture(
            """
            [instance_list]
            port = 0
            lag_ms = 0

            [[instances]]
            instance = "i1"
            availability_zone = "Lowell"
            session_address = "127.0.0.1:7000"
            engines = ["e1"]
            services = ["s1"]

            [weight_store]
            port = 0
            rate_bytes_per_second = 1000

            [[weights]]
            model = "fleet"
            version = "2"
            size_bytes = 5000
            """.trimIndent(),
        )
    private val list = HttpInstanceList(fixture.transport, fixture.url("instance_list"))
    private val weights = HttpWeightStore(fixture.transport, fixture.url("weight_store"))

    @AfterEach
    fun close() = fixture.close()

    @Test
    fun `lists instances with their endpoints and follows changes`() =
        runBlocking<Unit> {
            val first = list.list().getOrNull()!!.single()
            assertEquals(listOf("e1", "s1"), first.endpoints.map { it.endpoint.value })
            fixture.post("${fixture.url("instance_list")}/admin/instances/i1/leaving")
            assertEquals(
                InstanceState.LEAVING,
                list
                    .list()
                    .getOrNull()!!
                    .single()
                    .state,
            )
            fixture.setFaults("instance_list", """{"outage":"REFUSE"}""")
            assertInstanceOf(PlatformError.NotSent::class.java, list.list().leftOrNull())
        }

    @Test
    fun `describes weights and rejects unknown ones`() =
        runBlocking<Unit> {
            assertEquals(WeightInfo(5_000, 1_000), weights.describe(ModelName("fleet"), "2").getOrNull())
            assertEquals(404, (weights.describe(ModelName("fleet"), "3").leftOrNull() as PlatformError.Rejected).status)
        }
}
