package standins;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.nio.charset.StandardCharsets;

/** A client with one connection, which it may keep for several requests. */
final class Caller implements AutoCloseable {
    /** How a request ended: status 0 means that the connection ended without a head, -1 that nothing came in time. */
    record Answer(int status, String head, String body, boolean isComplete, long atMs) {
        boolean isLost() {
            return status == 0 || (status > 0 && !isComplete);
        }

        boolean isUnanswered() {
            return status == -1;
        }

        String summary() {
            if (status == -1) return "no answer";
            if (status == 0) return "connection closed without an answer";
            return status + (isComplete ? " complete, " : " BROKEN OFF, ") + body.length() + " bytes";
        }
    }

    private final Socket socket = new Socket();
    private final InputStream in;
    private final Journal journal;

    Caller(InetSocketAddress entry, Journal journal) throws IOException {
        this.journal = journal;
        socket.connect(entry, 1_000);
        socket.setTcpNoDelay(true);
        in = new BufferedInputStream(socket.getInputStream());
    }

    void send(String method, String path, String id, long deadlineMs, byte[] body, String... headers) throws IOException {
        StringBuilder head = new StringBuilder(method + " " + path + " HTTP/1.1\r\nHost: " + Deployment.HOST + "\r\nX-Attempt-Id: " + id
            + "\r\nX-Deadline-Ms: " + deadlineMs + "\r\nContent-Length: " + body.length + "\r\n");
        for (String header : headers) head.append(header).append("\r\n");
        head.append("\r\n");
        socket.getOutputStream().write(head.toString().getBytes(StandardCharsets.ISO_8859_1));
        socket.getOutputStream().write(body);
        socket.getOutputStream().flush();
    }

    /** Sends a model request. */
    void sendModel(String path, String id, long deadlineMs, int promptTokens, int outputTokens) throws IOException {
        send("POST", path, id, deadlineMs, new byte[64], "X-Model: m", "X-Token-Count: " + promptTokens + "," + outputTokens,
            "X-Prompt-Prefix: 5c1e07a2:100," + Integer.toHexString(id.hashCode()) + ":" + (promptTokens - 100));
    }

    /** Waits for the whole answer, {@code timeoutMs} at most. */
    Answer await(long timeoutMs) {
        long until = System.nanoTime() + timeoutMs * 1_000_000;
        String head = null;
        ByteArrayOutputStream body = new ByteArrayOutputStream();
        try {
            limit(until);
            head = HttpServer.readHead(in);
            if (head == null) return new Answer(0, "", "", false, journal.nowMs());
            int status = Integer.parseInt(head.split(" ")[1]);
            boolean isComplete = head.toLowerCase().contains("transfer-encoding: chunked") ? readChunks(body, until) : readLength(head, body, until);
            return new Answer(status, head, body.toString(StandardCharsets.ISO_8859_1), isComplete, journal.nowMs());
        } catch (SocketTimeoutException e) {
            return new Answer(-1, "", body.toString(StandardCharsets.ISO_8859_1), false, journal.nowMs());
        } catch (IOException e) {
            int status = head == null ? 0 : Integer.parseInt(head.split(" ")[1]);
            return new Answer(status, head == null ? "" : head, body.toString(StandardCharsets.ISO_8859_1), false, journal.nowMs());
        }
    }

    private void limit(long until) throws IOException {
        long leftMs = (until - System.nanoTime()) / 1_000_000;
        if (leftMs <= 0) throw new SocketTimeoutException();
        socket.setSoTimeout((int) leftMs);
    }

    private boolean readLength(String head, ByteArrayOutputStream body, long until) throws IOException {
        int length = 0;
        for (String line : head.split("\r\n")) {
            if (line.toLowerCase().startsWith("content-length:")) length = Integer.parseInt(line.substring(15).trim());
        }
        while (body.size() < length) {
            limit(until);
            int next = in.read();
            if (next < 0) return false;
            body.write(next);
        }
        return true;
    }

    private boolean readChunks(ByteArrayOutputStream body, long until) throws IOException {
        while (true) {
            String line = readLine(until);
            if (line == null) return false;
            int size = Integer.parseInt(line.trim(), 16);
            for (int i = 0; i < size; i++) {
                limit(until);
                int next = in.read();
                if (next < 0) return false;
                body.write(next);
            }
            if (readLine(until) == null) return false;
            if (size == 0) return true;
        }
    }

    private String readLine(long until) throws IOException {
        StringBuilder line = new StringBuilder();
        while (true) {
            limit(until);
            int next = in.read();
            if (next < 0) return null;
            if (next == '\n') return line.toString();
            line.append((char) next);
        }
    }

    @Override
    public void close() throws IOException {
        socket.close();
    }
}
