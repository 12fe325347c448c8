import java.io.IOException;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;

/** Stand-in of a model worker: reservations, prompts read apart, event streams that can be resumed, stage orders. */
class Engine extends Worker {
    private static final AtomicLong NUMBERS = new AtomicLong(0x3fa0);
    private static final int SWITCH_MS = 6_000;
    private final Store store;
    private final Set<String> handles = ConcurrentHashMap.newKeySet();
    int events = 20;
    int eventMs = 20;
    int prefillMs = 40;

    Engine(String id, String zone, String ip, String stage, Store store, Record record) throws IOException {
        super(id, Config.MODEL, zone, ip, 0, record);
        this.store = store;
        this.stage = stage;
        slots = 64;
    }

    void register() { store.put("keyed.servers", id, entry("ready")); }

    @Override
    boolean handle(Socket socket, Http.Message request) throws IOException {
        request.body = Http.readBody(socket.getInputStream(), request, false);
        OutputStream out = socket.getOutputStream();
        String path = request.target().split("\\?")[0];
        String expected = request.header("x-expect-instance");
        if (expected != null && !expected.equals(id)) {
            respond(out, 421, request, "X-Not-Executed: 1\r\n", "");
        } else if (path.equals("/hold-take")) {
            respond(out, 200, request, "Content-Type: application/json\r\n", "{\"hold\":\"h" + NUMBERS.incrementAndGet() + "\"}");
        } else if (path.equals("/order")) {
            order(request.text());
            respond(out, 202, request, "", "");
        } else if (path.startsWith("/hold-drop/") || path.startsWith("/kv-handle/")) {
            respond(out, 200, request, "", "");
        } else if ("prefill".equals(request.header("x-serving-stage"))) {
            prefill(out, request);
        } else {
            return run(socket, request);
        }
        return true;
    }

    private void order(String body) {
        String next = body.contains("\"prefill\"") ? "prefill" : "decode";
        record.add("worker %s is ordered to stage %s: %s", id, next, body);
        Threads.start("switch-" + id, () -> {
            Thread.sleep(SWITCH_MS);
            stage = next;
            if (!isDead) register();
        });
    }

    private void prefill(OutputStream out, Http.Message request) throws IOException {
        if (!stage.equals("prefill")) {
            respond(out, 421, request, "X-Not-Executed: 1\r\n", "");
            return;
        }
        Threads.sleep(prefillMs);
        String handle = Long.toHexString(NUMBERS.incrementAndGet()) + "c41b7";
        handles.add(handle);
        respond(out, 200, request, "Content-Type: application/json\r\n", "{\"kv-handle\":\"" + handle + "\",\"tokens\":1000,\"version\":1}");
    }

    /** False if the connection ends. */
    boolean run(Socket socket, Http.Message request) throws IOException {
        OutputStream out = socket.getOutputStream();
        if (stage.equals("prefill")) {
            respond(out, 421, request, "X-Not-Executed: 1\r\n", "");
            return true;
        }
        String attempt = request.header("x-attempt-id");
        record.add("worker %s runs %s attempt %s", id, request.target(), attempt);
        onRun(attempt, request);
        if (isDead) return false;
        int from = request.header("last-event-id") == null ? 0 : Integer.parseInt(request.header("last-event-id").trim());
        write(out, "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Server-Signature: s-" + id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int event = from + 1; event <= events; event++) {
            Threads.sleep(eventMs);
            String text = "id: " + event + "\ndata: " + attempt + "-" + event + "\n\n";
            write(out, Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
        }
        write(out, "0\r\n\r\n");
        return true;
    }

    private static void write(OutputStream out, String text) throws IOException {
        out.write(text.getBytes(StandardCharsets.ISO_8859_1));
        out.flush();
    }
}
