package standins;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.concurrent.atomic.AtomicInteger;

/** One part of a prompt crashes each worker that begins to write an answer on it, after the second event. */
final class DeadlyPart {
    private static final int DECODERS = 8;
    private static final int EVENTS_BEFORE_CRASH = 2;
    private static final int PIECES = 68;
    private static final long PAUSE_MS = 80;
    private static final int REQUESTS_PER_DEADLY_ONE = 20;
    private static final long TROUBLE_MS = 22_000;
    private static final long BACK_AFTER_MS = 3_000;
    private static final long ENTRY_LAPSES_MS = 3_600;
    private static final long STABLE_WINDOW_MS = 3_000;
    private static final int ALLOWED = 3;

    private final Deployment deployment;
    private final Journal journal;
    private final AtomicInteger workers = new AtomicInteger();
    private final List<Long> crashes = Collections.synchronizedList(new ArrayList<>());
    private final List<Long> arrivals = Collections.synchronizedList(new ArrayList<>());
    private final AtomicInteger whole = new AtomicInteger();
    private final AtomicInteger lost = new AtomicInteger();
    private final AtomicInteger refused = new AtomicInteger();

    private DeadlyPart(Deployment deployment) {
        this.deployment = deployment;
        journal = deployment.journal;
    }

    public static void main(String[] arguments) {
        Case.run(arguments, (deployment, withTrouble) -> new DeadlyPart(deployment).run(withTrouble));
    }

    private boolean run(boolean withTrouble) throws Exception {
        for (int i = 1; i <= 2; i++) deployment.worker("w-prefill-" + i, Deployment.MODEL, "prefill", 64);
        for (int i = 0; i < DECODERS; i++) startDecoder();
        EntryProcess entry = deployment.entry("edge-1");
        Thread.sleep(STABLE_WINDOW_MS);
        long start = journal.nowMs();
        List<Thread> clients = new ArrayList<>();
        for (int i = 1; journal.nowMs() - start < TROUBLE_MS; i++) {
            boolean isDeadly = withTrouble && i % REQUESTS_PER_DEADLY_ONE == 0;
            String id = (isDeadly ? "deadly-" : "sound-") + i;
            Thread client = new Thread(() -> request(entry, id, isDeadly));
            client.start();
            clients.add(client);
            Thread.sleep(PAUSE_MS);
        }
        for (Thread client : clients) client.join();
        long fifth = crashes.size() < 5 ? Long.MAX_VALUE : crashes.get(4);
        long late = arrivals.stream().filter(at -> fifth != Long.MAX_VALUE && at > fifth + STABLE_WINDOW_MS).count();
        journal.add(crashes.size() + " crashes; " + late + " runs with the deadly part reached workers later than 3 s after the fifth crash");
        journal.add("sound requests: " + whole + " whole, " + lost + " broken off or failed, " + refused + " refused");
        return late > ALLOWED;
    }

    private void request(EntryProcess entry, String id, boolean isDeadly) {
        String own = Integer.toHexString(id.hashCode());
        try (Caller caller = deployment.caller(entry)) {
            caller.send("POST", "/survey/a", id, 14_000, new byte[64], "X-Model: m", "X-Token-Count: 500," + PIECES,
                "X-Prompt-Prefix: 5c1e07a2:100," + (isDeadly ? "deadbeef:100," : "91bd3f06:100,") + own + ":300");
            Caller.Answer answer = caller.await(14_500);
            journal.add(id + ": " + answer.summary());
            if (isDeadly) return;
            if (answer.status() == 200 && answer.isComplete()) whole.incrementAndGet();
            else if (answer.status() == 503) refused.incrementAndGet();
            else lost.incrementAndGet();
        } catch (IOException e) {
            journal.add(id + ": " + e);
        }
    }

    private void startDecoder() throws IOException {
        Worker worker = deployment.worker("w-decode-" + workers.incrementAndGet(), Deployment.MODEL, "decode", 64);
        worker.gapMs = 20;
        worker.hook = exchange -> {
            String prompt = exchange.header("X-Prompt-Prefix");
            if (prompt == null || !prompt.contains("deadbeef")) return false;
            arrivals.add(journal.nowMs());
            crash(worker, exchange);
            return true;
        };
    }

    private void crash(Worker worker, HttpServer.Exchange exchange) throws IOException {
        exchange.write("HTTP/1.1 200 OK\r\n" + Worker.idLine(exchange) + "\r\nX-Server-Signature: " + worker.id
            + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n");
        for (int i = 1; i <= EVENTS_BEFORE_CRASH; i++) {
            String event = "id: " + i + "\ndata: " + exchange.header("X-Attempt-Id") + "-" + i + "\n\n";
            exchange.write(Integer.toHexString(event.length()) + "\r\n" + event + "\r\n");
        }
        crashes.add(journal.nowMs());
        journal.add(worker.id + " crashes as it begins to write on " + exchange.header("X-Attempt-Id"));
        HttpServer.daemon(() -> replace(worker));
        worker.close();
    }

    private void replace(Worker crashed) {
        try {
            Thread.sleep(BACK_AFTER_MS);
            startDecoder();
            Thread.sleep(ENTRY_LAPSES_MS - BACK_AFTER_MS);
            deployment.store.put("keyed.servers", crashed.id, null);
        } catch (Exception e) {
            journal.add("no replacement for " + crashed.id + ": " + e);
        }
    }
}
