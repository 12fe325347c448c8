import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a client with one kept connection. */
final class Caller implements AutoCloseable {
    private static final AtomicLong ATTEMPTS = new AtomicLong(0x5000_0000L);
    private Socket socket;
    private final EntryProcess entry;

    Caller(EntryProcess entry) { this.entry = entry; }

    static String newAttempt() { return Long.toHexString(ATTEMPTS.incrementAndGet()) + "a7c3"; }

    Socket socket() throws IOException {
        if (socket == null || socket.isClosed()) {
            socket = new Socket();
            socket.setTcpNoDelay(true);
            socket.connect(new InetSocketAddress(entry.ip, entry.frontPort), 1_000);
        }
        return socket;
    }

    /** Sends a request and waits for the answer; null if the connection ended without one. */
    Http.Message call(String method, String target, String host, String attempt, String headers, byte[] body, long deadlineMs) {
        try {
            Socket open = socket();
            open.setSoTimeout((int) deadlineMs + 2_000);
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            out.write((method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\nX-Attempt-Id: " + attempt + "\r\nX-Deadline-Ms: " + deadlineMs
                + "\r\n" + headers + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "") + "\r\n").getBytes(StandardCharsets.ISO_8859_1));
            out.write(body);
            open.getOutputStream().write(out.toByteArray());
            open.getOutputStream().flush();
            Http.Message answer = Http.read(open.getInputStream(), true);
            if (answer == null || "close".equalsIgnoreCase(answer.header("connection"))) close();
            return answer;
        } catch (IOException e) {
            close();
            return null;
        }
    }

    @Override
    public void close() {
        try {
            if (socket != null) socket.close();
        } catch (IOException ignored) {
            // Closed already.
        }
        socket = null;
    }
}
