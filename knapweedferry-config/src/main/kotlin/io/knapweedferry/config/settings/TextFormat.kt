package io.knapweedferry.config.settings

import java.net.InetAddress
import java.net.URI
import java.net.URISyntaxException
import java.net.UnknownHostException

/** Formats of string settings. */
public enum class TextFormat(
    /** Description of a valid value; completes messages such as "set it to ...". */
    public val description: String,
    private val matches: (String) -> Boolean,
) {
    NAME("1 to 64 letters, digits, dots, dashes or underscores", { NAME_PATTERN.matches(it) }),
    FILE("the path of a readable file", { it.isNotBlank() }),
    SHA256("64 lower-case hex digits, as sha256sum prints them", { SHA256_PATTERN.matches(it) }),
    IP_PORT("an IP address and a port, such as 127.0.0.1:8080 or [::1]:8080", ::isIpPort),
    HTTP_URL("a URL such as http://127.0.0.1:9000, without query or fragment", ::isHttpUrl),
    ;

    /** Returns true if [text] has this format. */
    public fun accepts(text: String): Boolean = matches(text)
}

private const val MAX_PORT = 65_535
private const val MAX_OCTET = 255
private val NAME_PATTERN = Regex("[A-Za-z0-9._-]{1,64}")
private val SHA256_PATTERN = Regex("[0-9a-f]{64}")
private val IP_PORT_PATTERN = Regex("""(\d{1,3}(?:\.\d{1,3}){3}|\[[0-9A-Fa-f:.]+]):(\d{1,5})""")

private fun isIpPort(text: String): Boolean {
    val (host, port) = IP_PORT_PATTERN.matchEntire(text)?.destructured ?: return false
    if (port.toInt() > MAX_PORT) return false
    if (!host.startsWith("[")) return host.split('.').all { it.toInt() <= MAX_OCTET }
    return isIpV6(host.trim('[', ']'))
}

/** The required colon makes [InetAddress] parse the text as a literal instead of resolving it as a host name. */
private fun isIpV6(text: String): Boolean =
    try {
        ':' in text && InetAddress.getByName(text) != null
    } catch (_: UnknownHostException) {
        false
    }

private fun isHttpUrl(text: String): Boolean {
    val uri =
        try {
            URI(text)
        } catch (_: URISyntaxException) {
            return false
        }
    val schemeIsHttp = uri.scheme == "http" || uri.scheme == "https"
    return schemeIsHttp && uri.host != null && uri.port <= MAX_PORT && uri.query == null && uri.fragment == null
}
