package standins;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** One worker, a model worker if it has a stage. A sound one unless a hook says otherwise. */
final class Worker implements AutoCloseable {
    /** May answer a request instead of the worker; true if it did. */
    interface Hook {
        boolean handle(HttpServer.Exchange exchange) throws Exception;
    }

    /** Work of a tag stamp on the users' sheet. */
    private static final long PLAIN_WORK_MS = 21;
    static final double PREFILL_TOKENS_PER_MS = 33.3333;
    private static final Set<String> HANDLES = ConcurrentHashMap.newKeySet();
    private static final AtomicInteger NUMBERS = new AtomicInteger();
    private static final Pattern TOKENS = Pattern.compile("\"tokens\":(\\d+)");
    private static final Pattern TTL = Pattern.compile("\"ttl-ms\":(\\d+)");

    final String id;
    final HttpServer server;
    private final String service;
    private final Store store;
    private final Journal journal;
    private final int slots;
    private final int capacityTokens;
    private final long born = System.currentTimeMillis();
    private final AtomicInteger sequence = new AtomicInteger();
    volatile String stage;
    volatile String state = "ready";
    volatile String zone = "newburyport";
    /** Pause between the pieces of a stream. */
    volatile long gapMs = 5;
    volatile Hook hook = exchange -> false;
    private final Object prefillLock = new Object();
    /** Tokens of running requests and of leases, by their names. */
    private final Map<String, Integer> used = new HashMap<>();
    private final Map<String, Long> leaseEnds = new HashMap<>();

    Worker(String id, String service, String stage, int slots, int capacityTokens, Store store, Journal journal) throws IOException {
        this.id = id;
        this.service = service;
        this.stage = stage;
        this.slots = slots;
        this.capacityTokens = capacityTokens;
        this.store = store;
        this.journal = journal;
        server = new HttpServer("127.0.0.1", this::handle);
        beat();
    }

    /** What the worker says of itself in the store. */
    String beatText() {
        String stageFields = stage == null ? "" : ",\"stage\":\"" + stage + "\",\"models\":[{\"name\":\"m\",\"version\":1,\"adapters\":[]}]";
        return "{\"service\":\"" + service + "\",\"address\":\"" + server.hostPort() + "\",\"zone\":\"" + zone + "\",\"version\":\"v1\",\"slots\":" + slots
            + ",\"state\":\"" + state + "\",\"cold-remaining-ms\":0" + stageFields + ",\"born\":" + born + ",\"sequence\":" + sequence.incrementAndGet() + "}";
    }

    void beat() {
        store.register(id, beatText());
    }

    private void handle(HttpServer.Exchange exchange) throws Exception {
        String expected = exchange.header("X-Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            exchange.answer(421, new byte[0], "X-Instance-Id: " + id);
            return;
        }
        if (hook.handle(exchange)) return;
        switch (exchange.path()) {
            case "/hold-take" -> takeLease(exchange);
            case "/report" -> exchange.answerJson(200, "{\"stage\":\"" + stage + "\",\"busy\":false}");
            case "/health" -> exchange.answer(state.equals("ready") ? 200 : 503, new byte[0], "X-Instance-Id: " + id);
            case "/order" -> {
                journal.add(id + " order " + new String(exchange.body, StandardCharsets.UTF_8));
                exchange.answerJson(202, "{}");
            }
            default -> {
                if (exchange.path().startsWith("/hold-drop/")) dropLease(exchange);
                else if (exchange.path().startsWith("/kv-handle/")) exchange.answerJson(200, "{}");
                else if (stage == null) runPlain(exchange);
                else if ("prefill".equals(exchange.header("X-Serving-Stage"))) readPrompt(exchange);
                else stream(exchange);
            }
        }
    }

    static int number(Pattern pattern, byte[] body) {
        Matcher matcher = pattern.matcher(new String(body, StandardCharsets.UTF_8));
        return matcher.find() ? Integer.parseInt(matcher.group(1)) : 0;
    }

    private void removeLapsed() {
        long now = System.nanoTime();
        leaseEnds.entrySet().removeIf(lease -> {
            if (lease.getValue() > now) return false;
            used.remove(lease.getKey());
            return true;
        });
    }

    private synchronized boolean admit(String name, int tokens) {
        removeLapsed();
        if (used.size() >= slots || used.values().stream().mapToInt(Integer::intValue).sum() + tokens > capacityTokens) return false;
        used.put(name, tokens);
        return true;
    }

    private synchronized void takeLease(HttpServer.Exchange exchange) throws IOException {
        String lease = "h" + NUMBERS.incrementAndGet();
        if (!admit(lease, number(TOKENS, exchange.body))) {
            exchange.answerJson(503, "{}");
            return;
        }
        leaseEnds.put(lease, System.nanoTime() + number(TTL, exchange.body) * 1_000_000L);
        exchange.answerJson(200, "{\"hold\":\"" + lease + "\"}");
    }

    private synchronized void dropLease(HttpServer.Exchange exchange) throws IOException {
        String lease = exchange.path().substring("/hold-drop/".length());
        leaseEnds.remove(lease);
        used.remove(lease);
        exchange.answerJson(200, "{}");
    }

    private synchronized boolean useLease(String lease) {
        removeLapsed();
        if (lease == null || leaseEnds.remove(lease) == null) return false;
        used.remove(lease);
        return true;
    }

    /** True if someone holds a lease here. */
    synchronized boolean hasLease() {
        removeLapsed();
        return !leaseEnds.isEmpty();
    }

    private void release(String name) {
        synchronized (this) {
            used.remove(name);
        }
    }

    private void notRun(HttpServer.Exchange exchange, int status, String why) throws IOException {
        journal.add(id + " turns away " + exchange.header("X-Attempt-Id") + ": " + why);
        exchange.answer(status, new byte[0], idLine(exchange), "X-Not-Executed: 1");
    }

    static String idLine(HttpServer.Exchange exchange) {
        return "X-Attempt-Id: " + exchange.header("X-Attempt-Id");
    }

    private void runPlain(HttpServer.Exchange exchange) throws Exception {
        String request = exchange.header("X-Attempt-Id");
        journal.add(id + " runs " + request);
        Thread.sleep(PLAIN_WORK_MS);
        exchange.answer(200, ("done " + request).getBytes(StandardCharsets.UTF_8), idLine(exchange), "X-Server-Signature: " + id);
    }

    /** Time to read a prompt of so many tokens. */
    static long prefillMs(int tokens) {
        return (long) (tokens / PREFILL_TOKENS_PER_MS) + 15;
    }

    int promptTokens(HttpServer.Exchange exchange) {
        return Integer.parseInt(exchange.header("X-Token-Count").split(",")[0].trim());
    }

    private void readPrompt(HttpServer.Exchange exchange) throws Exception {
        if (!"prefill".equals(stage)) {
            notRun(exchange, 421, "wrong stage");
            return;
        }
        int tokens = promptTokens(exchange);
        journal.add(id + " reads the prompt of " + exchange.header("X-Attempt-Id"));
        synchronized (prefillLock) {
            Thread.sleep(prefillMs(tokens));
        }
        String handle = String.format("%012x", NUMBERS.incrementAndGet());
        HANDLES.add(server.hostPort() + "/" + handle);
        exchange.answerJson(200, "{\"kv-handle\":\"" + handle + "\",\"tokens\":" + tokens + ",\"version\":1}", idLine(exchange), "X-Server-Signature: " + id);
    }

    private void stream(HttpServer.Exchange exchange) throws Exception {
        String request = exchange.header("X-Attempt-Id");
        if (!"decode".equals(stage)) {
            notRun(exchange, 421, "wrong stage");
            return;
        }
        String source = exchange.header("X-Kv-Source");
        if (source != null && !HANDLES.remove(source)) {
            notRun(exchange, 503, "its handle is gone");
            return;
        }
        int tokens = promptTokens(exchange);
        int pieces = Integer.parseInt(exchange.header("X-Token-Count").split(",")[1].trim());
        String lease = exchange.header("X-Kv-Hold");
        boolean hadLease = useLease(lease);
        if (!admit(request, tokens + pieces)) {
            notRun(exchange, 503, "full" + (lease != null && !hadLease ? ", its lease has lapsed" : ""));
            return;
        }
        try {
            String last = exchange.header("Last-Event-Id");
            int first = last == null ? 1 : Integer.parseInt(last) + 1;
            if (source == null && last == null) Thread.sleep(2 * prefillMs(tokens));
            journal.add(id + " runs " + request + " from piece " + first);
            exchange.write("HTTP/1.1 200 OK\r\n" + idLine(exchange) + "\r\nX-Server-Signature: " + id + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
            for (int piece = first; piece <= pieces; piece++) {
                String event = "id: " + piece + "\ndata: " + request + "-" + piece + "\n\n";
                exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
                Thread.sleep(gapMs);
            }
            exchange.write("0\r\n\r\n");
            journal.add(id + " has run " + request);
        } finally {
            release(request);
        }
    }

    @Override
    public void close() throws IOException {
        server.close();
    }
}
