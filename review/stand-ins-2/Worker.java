import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Collections;
import java.util.HashSet;
import java.util.Set;

/** Stand-in of a worker: answers one request at a time on a connection, and signs its answers. */
class Worker {
    final String id;
    final String service;
    final String zone;
    final long bornMs = System.currentTimeMillis();
    final Record record;
    final ServerSocket server;
    final Set<Socket> sockets = Collections.synchronizedSet(new HashSet<>());
    volatile long workMs;
    volatile boolean isLeaving;
    volatile boolean isDead;
    String stage;
    int slots = 6;

    Worker(String id, String service, String zone, String ip, long workMs, Record record) throws IOException {
        this.id = id;
        this.service = service;
        this.zone = zone;
        this.workMs = workMs;
        this.record = record;
        server = new ServerSocket(0, 256, InetAddress.getByName(ip));
        Threads.start("worker-" + id, () -> {
            while (!isDead) {
                Socket socket = server.accept();
                sockets.add(socket);
                Threads.start("worker-call-" + id, () -> serve(socket));
            }
        });
    }

    String address() { return server.getInetAddress().getHostAddress() + ":" + server.getLocalPort(); }

    String entry(String state) {
        String stageFields = stage == null ? "" : "\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}],";
        return "{\"service\":\"" + service + "\",\"address\":\"" + address() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold-remaining-ms\":0," + stageFields + "\"sequence\":1,\"born\":" + bornMs + "}";
    }

    /** Ends as a process does: no further connections, and the open ones are closed. */
    void exit() throws IOException {
        isDead = true;
        server.close();
        synchronized (sockets) {
            for (Socket socket : sockets) socket.close();
        }
    }

    void serve(Socket socket) throws IOException {
        try (socket) {
            socket.setTcpNoDelay(true);
            while (!isDead) {
                Http.Message head = Http.readHead(socket.getInputStream());
                if (head == null || !handle(socket, head)) return;
            }
        } finally {
            sockets.remove(socket);
        }
    }

    /** False if the connection ends. */
    boolean handle(Socket socket, Http.Message request) throws IOException {
        request.body = Http.readBody(socket.getInputStream(), request, false);
        String expected = request.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            respond(socket.getOutputStream(), 421, request, "X-Not-Executed: 1\r\n", "");
            return true;
        }
        String attempt = request.header("x-attempt-id");
        record.add("worker %s runs %s %s attempt %s body %d B", id, request.method(), request.target(), attempt, request.body.length);
        onRun(attempt, request);
        Threads.sleep(workMs);
        respond(socket.getOutputStream(), 200, request, "", "done " + attempt);
        return true;
    }

    void onRun(String attempt, Http.Message request) {}

    void respond(OutputStream out, int status, Http.Message request, String more, String body) throws IOException {
        String attempt = request.header("x-attempt-id");
        byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
        String head = "HTTP/1.1 " + status + " X\r\n"
            + (attempt == null ? "" : "X-Attempt-Id: " + attempt + "\r\n")
            + "X-Server-Signature: s-" + id + "\r\nX-Instance-Id: " + id + "\r\n"
            + (isLeaving ? "Server-Leaving: 1\r\n" : "") + more
            + "Content-Length: " + bytes.length + "\r\n\r\n";
        ByteArrayOutputStream all = new ByteArrayOutputStream();
        all.write(head.getBytes(StandardCharsets.ISO_8859_1));
        all.write(bytes);
        out.write(all.toByteArray());
        out.flush();
    }
}
