package io.knapweedferry.routing.model

import io.knapweedferry.api.ServiceName
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

/** Guards against requests that are matched to a less specific route or to the route of another host. */
internal class RouteTableSpec {
    private fun route(
        host: String,
        prefix: String,
    ) = Route(host + prefix, host, prefix, RouteKind.IDEMPOTENT, listOf(RouteTarget(ServiceName("s"), 1.0)), 1, 1, null, 1, 1, 0, false)

    private val table =
        RouteTable(
            1,
            listOf(route("h", "/a/"), route("h", "/a/b/"), route("i", "/")),
            emptyList(),
            CallerLimits.DEFAULT,
        )

    private val cases =
        listOf(
            Triple("h", "/a/x", "h/a/"),
            Triple("h", "/a/b/x", "h/a/b/"),
            Triple("H:8080", "/a/b/?q=/c/", "h/a/b/"),
            Triple("h", "/a/b", "h/a/"),
            Triple("h", "/a", null),
            Triple("h", "/?x=/a/", null),
            Triple("i", "/a/b/c", "i/"),
            Triple("j", "/a/", null),
        )

    @Test
    fun `selects the route with the longest matching prefix of the host`() {
        cases.forEach { (host, target, name) -> assertEquals(name, table.find(host, target)?.name, "$host $target") }
    }
}
