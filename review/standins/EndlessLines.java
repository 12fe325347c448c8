package standins;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;

/** One answer of a model worker consists of empty lines without end, until the entry closes the connection. */
final class EndlessLines {
    private static final int CLIENTS = 6;
    private static final long TIMEOUT_MS = 600;
    /** The clients would wait beyond the route's timeout. */
    private static final long DEADLINE_MS = 2_000;
    private static final long LENGTH_MS = 25_000;

    private EndlessLines() {
    }

    public static void main(String[] arguments) {
        Case.run(arguments, EndlessLines::run);
    }

    private static boolean run(Deployment deployment, boolean withTrouble) throws Exception {
        Journal journal = deployment.journal;
        deployment.worker("w-prefill", Deployment.MODEL, "prefill", 64);
        AtomicBoolean isDone = new AtomicBoolean(!withTrouble);
        for (int i = 1; i <= 2; i++) {
            Worker worker = deployment.worker("w-decode-" + i, Deployment.MODEL, "decode", 64);
            worker.hook = exchange -> {
                if (exchange.header("X-Attempt-Id") == null || isDone.getAndSet(true)) return false;
                sendEmptyLines(worker, exchange, journal);
                return true;
            };
        }
        for (int i = 1; i <= 3; i++) deployment.worker("w-plain-" + i, Deployment.PLAIN, null, 6);
        EntryProcess entry = deployment.entry("edge-1");
        long start = journal.nowMs();
        AtomicInteger sent = new AtomicInteger();
        AtomicInteger overdue = new AtomicInteger();
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> clients = new ArrayList<>();
        for (int c = 1; c <= CLIENTS; c++) {
            String client = "lookup-" + c + "-";
            clients.add(start(() -> {
                for (int i = 1; journal.nowMs() - start < LENGTH_MS; i++) {
                    try (Caller caller = deployment.caller(entry)) {
                        long sentAt = journal.nowMs();
                        sent.incrementAndGet();
                        caller.send("GET", "/locker/a", client + i, DEADLINE_MS, new byte[0]);
                        Caller.Answer answer = caller.await(TIMEOUT_MS + 500);
                        journal.add(client + i + ": " + answer.summary());
                        if (answer.atMs() - sentAt > TIMEOUT_MS + 20) overdue.incrementAndGet();
                        if (answer.isUnanswered()) unanswered.incrementAndGet();
                        Thread.sleep(250);
                    } catch (Exception e) {
                        journal.add(client + i + ": " + e);
                    }
                }
            }));
        }
        Thread.sleep(4_000);
        for (int i = 1; i <= 3; i++) {
            String id = "survey-" + i;
            clients.add(start(() -> {
                try (Caller caller = deployment.caller(entry)) {
                    caller.sendModel("/survey/a", id, 14_000, 500, 20);
                    journal.add(id + ": " + caller.await(14_500).summary());
                } catch (Exception e) {
                    journal.add(id + ": " + e);
                }
            }));
            Thread.sleep(300);
        }
        for (Thread client : clients) client.join();
        journal.add("edge-1 runs: " + entry.isAlive());
        journal.add(sent + " lookups sent, " + overdue + " lasted longer than their route's timeout, "
            + unanswered + " of them have no answer half a second after it");
        return unanswered.get() >= 8 && unanswered.get() * 4 > overdue.get();
    }

    private static Thread start(Runnable task) {
        Thread thread = new Thread(task);
        thread.start();
        return thread;
    }

    private static void sendEmptyLines(Worker worker, HttpServer.Exchange exchange, Journal journal) throws Exception {
        journal.add(worker.id + " answers " + exchange.header("X-Attempt-Id") + " with empty lines without end");
        exchange.write("HTTP/1.1 200 OK\r\n" + Worker.idLine(exchange) + "\r\nX-Server-Signature: " + worker.id
            + "\r\nContent-Type: text/event-stream\r\n\r\n");
        byte[] lines = "\n".repeat(16 * 1024).getBytes(StandardCharsets.US_ASCII);
        long count = 0;
        try {
            while (true) {
                exchange.write(lines);
                count += lines.length;
            }
        } finally {
            journal.add(worker.id + " sees the connection closed after " + count + " bytes");
        }
    }
}
